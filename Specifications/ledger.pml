/* At-most-once execution of one call under one Idempotency-Key.
 *
 * ATTEMPTS attempts, each on its own VM, propose commands to the log through
 * a network that delays, reorders and repeats them. The log applies them one
 * after the other to the ledger. docs/models/ledger.md maps each part to the
 * code.
 *
 * Each switch breaks one rule of the protocol; Spin must then find a run that
 * violates an assertion.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
/* Copies of one command that the network can still deliver. */
#define COPIES 2
#define NONE 255

/* What the VM of an attempt knows. */
mtype = { idle, waiting, allowed, sent, finished_here, gave_up };
/* The ledger's record. */
mtype = { absent, begun, done, lost };

mtype vm[ATTEMPTS];
/* Commands in the network: copies that can still be applied. */
byte begin_copies[ATTEMPTS];
byte finish_copies[ATTEMPTS];
byte abandon_copies[ATTEMPTS];
/* Finishes of this attempt say that the answer was lost. */
bool answer_lost[ATTEMPTS];

mtype record = absent;
byte owner = NONE;
bool past_deadline = false;
/* Attempts that may never be created any more. */
bool abandoned[ATTEMPTS];

byte executed = 0;           /* Times that the upstream ran the call. */
bool ran[ATTEMPTS];          /* The attempt was sent. */
bool told_not_run[ATTEMPTS]; /* Its caller was told "not run". */

/* Applies begin(a). The answer reaches the VM, or is lost. */
inline apply_begin(a)
{
    if
    :: record != absent ->
        if
#ifdef BROKEN_REPEAT
        /* A repeat past the deadline is taken for a new try. */
        :: record == begun && past_deadline && owner != a ->
            owner = a;
            past_deadline = false;
            answer_created(a)
        :: record == begun && owner == a && !past_deadline ->
            answer_created(a)
        :: else -> skip
#else
        :: record == begun && owner == a && !past_deadline ->
            answer_created(a)
        :: else -> skip /* in_progress, finished or unknown */
#endif
        fi
    :: record == absent && abandoned[a] -> skip /* unknown */
    :: record == absent && !abandoned[a] ->
        record = begun;
        owner = a;
        past_deadline = false;
        answer_created(a)
    fi
}

inline answer_created(a)
{
    if
    :: vm[a] == waiting -> vm[a] = allowed
#ifdef BROKEN_LATE_CREATED
    /* A VM that has given up acts on an answer that comes late. */
    :: vm[a] == gave_up -> vm[a] = allowed
#endif
    :: skip /* The answer is lost, or nobody waits for it any more. */
    fi
}

/* Applies finish(a). */
inline apply_finish(a)
{
    if
    :: record == begun && owner == a && answer_lost[a] -> record = lost
    :: (record == begun || record == lost) && owner == a &&
            !answer_lost[a] -> record = done
    :: else -> skip
    fi
}

/* Applies abandon(a). */
inline apply_abandon(a)
{
    if
#ifdef BROKEN_ABANDON
    /* Whoever abandons ends the record, whoever owns it. */
    :: record == begun ->
#else
    :: record == begun && owner == a ->
#endif
        record = absent;
        owner = NONE;
        past_deadline = false
    :: else -> skip
    fi;
    abandoned[a] = true
}

inline send(a)
{
    executed++;
    ran[a] = true;
    assert(executed <= 1);
    assert(!told_not_run[a]);
    vm[a] = sent
}

/* The VM of one attempt: the gateway's calls of ledger_client. */
proctype attempt_vm(byte a)
{
    atomic {
        vm[a] = waiting;
        begin_copies[a] = COPIES
    }
#ifdef BROKEN_SEND_BEFORE_COMMIT
    atomic { send(a) }
#else
    if
    :: atomic { vm[a] == allowed ->
        if
        :: send(a)
#ifdef BROKEN_ABANDON_AFTER_SEND
        /* A VM that has sent takes a broken connection for "not run". */
        :: send(a);
            vm[a] = gave_up;
            abandon_copies[a] = COPIES;
            goto end_of_attempt
#endif
        /* It gives up although it was told `created`. */
        :: told_not_run[a] = true;
            vm[a] = gave_up;
            abandon_copies[a] = COPIES;
            goto end_of_attempt
        fi }
    :: atomic { vm[a] == waiting -> /* begin timed out */
        vm[a] = gave_up;
        told_not_run[a] = true;
        abandon_copies[a] = COPIES;
        goto end_of_attempt }
    fi;
#endif
    atomic {
        if
        :: skip; /* It dies: nothing follows. */
            goto end_of_attempt
        :: answer_lost[a] = true
        :: answer_lost[a] = false
        fi;
        vm[a] = finished_here;
        finish_copies[a] = COPIES
    };
    /* An answer that comes after "lost" completes the record. */
    if
    :: atomic { answer_lost[a] && finish_copies[a] == 0 ->
        answer_lost[a] = false;
        finish_copies[a] = 1 }
    :: skip
    fi;
end_of_attempt:
#ifdef BROKEN_LATE_CREATED
    if
    :: atomic { vm[a] == allowed && !ran[a] -> send(a) }
    :: skip
    fi
#else
    skip
#endif
}

/* Delivers commands in any order; a copy that is left can come much later. */
proctype the_log()
{
    byte a;
end_of_log:
    do
    :: atomic {
        select(a : 0 .. ATTEMPTS - 1);
        if
        :: begin_copies[a] > 0 ->
            begin_copies[a]--;
            apply_begin(a)
        :: finish_copies[a] > 0 ->
            finish_copies[a]--;
            apply_finish(a)
        :: abandon_copies[a] > 0 ->
            abandon_copies[a]--;
            apply_abandon(a)
        :: record == begun && !past_deadline ->
            past_deadline = true
        :: abandoned[a] -> /* It expires, or its bound is reached. */
            abandoned[a] = false
        :: else -> skip
        fi;
        a = 0
        }
    od
}

init
{
    byte n = 0;
    atomic {
        do
        :: n < ATTEMPTS ->
            vm[n] = idle;
            run attempt_vm(n);
            n++
        :: else -> break
        od;
        n = 0;
        run the_log()
    }
}
