/* Leases of the flexible part of one account's rate.
 *
 * Two holders share two units. A grantor leases units for LEASE ticks of its
 * holder's clock, counted from the request; it counts them for HOLD ticks
 * from the grant. A second leader can be elected while the first one still
 * acts. Messages can be lost, repeated and arrive late. The property: the
 * units in force at both holders never exceed UNITS.
 *
 * A clock that is slow is modelled by a holder that counts LEASE ticks as
 * LEASE + DRIFT ticks of true time; HOLD includes DRIFT, unless a switch says
 * otherwise. Each switch takes one rule away; Spin must then find a violation.
 * docs/models/rate_lease.md names the function behind each line.
 */

#define UNITS 2
#define LEASE 1
#define DRIFT 1
#define LEASE_AT_HOLDER (LEASE + DRIFT)
#define ELECTION 1
#define TICKS 5
#define NOBODY 2   /* Neither leader. */
#define REQUESTS 3 /* Of holder 0; holder 1 sends one. */

#ifdef BROKEN_GRANTOR_DRIFT
#define HOLD LEASE
#else
#define HOLD (LEASE + DRIFT)
#endif

byte now = 0;

/* Holders. */
byte share[2];      /* In force. */
byte ends[2];       /* True time at which the share ends. */
byte sent_at[2];    /* Of the newest request. */
byte sequence[2];   /* Of the newest request. */
byte applied[2];    /* Of the grant in force. */
byte applied_by[2]; /* Its leader. */
byte granted[2];    /* Its units, also after they ended. */

/* One request of each holder in transit, repeatable until replaced. */
bool asked[2];
byte asked_sequence[2];
byte asked_applied[2];
byte asked_units[2];
byte asked_by[2];   /* Leader of the grant in force. */

/* One grant for each holder in transit; an older one can stay behind. */
byte grant_sequence[2];
byte grant_units[2];
byte grant_by[2];   /* Leader. */
byte grant_base[2]; /* Not 0: the units of that grant of this leader stay. */

/* Two grantors: each counts up to two grants for each holder. */
bool leads[2];
byte from[2];            /* Grants begin at this time. */
byte down_at;            /* Leader 0 steps down by then. */
byte seen[4];            /* Newest sequence, by leader * 2 + holder. */
byte count_a[4];
byte end_a[4];
byte seq_a[4];
byte count_b[4];
byte end_b[4];
byte seq_b[4];

#define at(l, h) (l * 2 + h)
#define max(a, b) ((a) > (b) -> (a) : (b))
#define counted(l, h) max(count_a[at(l, h)], count_b[at(l, h)])

/* Forgets what has ended and what the holder can't apply any more. */
inline forget(l, h)
{
    if
    :: end_a[at(l, h)] <= now -> count_a[at(l, h)] = 0; end_a[at(l, h)] = 0; seq_a[at(l, h)] = 0
    :: else
    fi;
    if
    :: end_b[at(l, h)] <= now -> count_b[at(l, h)] = 0; end_b[at(l, h)] = 0; seq_b[at(l, h)] = 0
    :: else
    fi
}

inline acknowledge(l, h)
{
    if
#ifdef BROKEN_ACKNOWLEDGE
    /* Forgets the grant in force together with the older ones. */
    :: seq_a[at(l, h)] <= asked_applied[h] -> count_a[at(l, h)] = 0
    :: else
    fi;
    if
    :: seq_b[at(l, h)] <= asked_applied[h] -> count_b[at(l, h)] = 0
#else
    :: seq_a[at(l, h)] < asked_applied[h] -> count_a[at(l, h)] = 0
    :: else
    fi;
    if
    :: seq_b[at(l, h)] < asked_applied[h] -> count_b[at(l, h)] = 0
#endif
    :: else
    fi
}

#ifdef BROKEN_BASE
/* Takes the newest answer for the one in force; the holder checks nothing. */
#define base_known(l, h) (seq_b[at(l, h)] > 0)
#define has_base(h) true
#else
#define base_known(l, h) \
    (seq_b[at(l, h)] > 0 && seq_b[at(l, h)] == asked_applied[h] && \
     asked_by[h] == l)
#define has_base(h) \
    (grant_base[h] == 0 || \
     (grant_base[h] == applied[h] && grant_by[h] == applied_by[h]))
#endif

inline handle(l, h)
{
    seen[at(l, h)] = asked_sequence[h];
    forget(l, 0);
    forget(l, 1);
    acknowledge(l, h);
    /* The older slot is free or merged: it counts at least as much. */
    if
    :: now >= from[l] ->
        free = UNITS - counted(l, (1 - h));
#ifdef BROKEN_OVERCOMMIT
        free = UNITS;
#endif
        give = (asked_units[h] < free -> asked_units[h] : free);
        /* A grant that names nothing keeps the units of the grant that the
           holder reported, if this leader knows them. */
        if
        :: base_known(l, h) && count_b[at(l, h)] <= free ->
            give = count_b[at(l, h)];
            base = seq_b[at(l, h)]
        :: true
        fi;
        count_a[at(l, h)] = max(count_a[at(l, h)], count_b[at(l, h)]);
        end_a[at(l, h)] = max(end_a[at(l, h)], end_b[at(l, h)]);
        seq_a[at(l, h)] = max(seq_a[at(l, h)], seq_b[at(l, h)]);
        count_b[at(l, h)] = give;
        end_b[at(l, h)] = now + HOLD;
        seq_b[at(l, h)] = asked_sequence[h];
        /* The new answer may overtake one that is still in transit: either
           can be the one that arrives. */
        if
        :: grant_sequence[h] = asked_sequence[h]; grant_units[h] = give;
           grant_by[h] = l; grant_base[h] = base
        :: skip /* Lost. */
        fi
    :: else
    fi;
    free = 0;
    give = 0;
    base = 0
}

#define is_new(h) (grant_sequence[h] > applied[h])

#ifdef BROKEN_HOLDER_CLOCK
/* Counts from the arrival of the grant. */
#define lease_start(h) now
#else
#define lease_start(h) sent_at[h]
#endif

/* A grant that was applied, or answers an older request, changes nothing any
   more; without it there are fewer states. */
inline drop_grant(h)
{
    grant_sequence[h] = 0;
    grant_units[h] = 0;
    grant_by[h] = 0;
    grant_base[h] = 0
}

inline apply(h)
{
    /* A holder knows when it sent the newest request only. */
    if
    :: grant_sequence[h] == sequence[h] && is_new(h) && has_base(h) &&
       now < lease_start(h) + LEASE_AT_HOLDER ->
        applied[h] = grant_sequence[h];
        applied_by[h] = grant_by[h];
        granted[h] = (grant_base[h] > 0 -> granted[h] : grant_units[h]);
        share[h] = granted[h];
        ends[h] = lease_start(h) + LEASE_AT_HOLDER;
        drop_grant(h)
    :: else
    fi
}

inline request(h, units)
{
    sequence[h] = sequence[h] + 1;
    sent_at[h] = now;
    drop_grant(h);
    asked[h] = true;
    asked_sequence[h] = sequence[h];
    asked_applied[h] = applied[h];
    asked_by[h] = applied_by[h];
    asked_units[h] = units
}

inline expire(h)
{
    if
    :: ends[h] <= now -> share[h] = 0; ends[h] = 0
    :: else
    fi
}

/* What a leader that stepped down knew is of no use any more. */
inline clear(l, h)
{
    seen[at(l, h)] = 0;
    count_a[at(l, h)] = 0; end_a[at(l, h)] = 0; seq_a[at(l, h)] = 0;
    count_b[at(l, h)] = 0; end_b[at(l, h)] = 0; seq_b[at(l, h)] = 0
}

/* Time passes; leases end and a leader without contact steps down in it. */
inline tick()
{
    now = now + 1;
    expire(0);
    expire(1);
    if
    :: leads[0] && down_at > 0 && now >= down_at ->
        leads[0] = false;
        clear(0, 0);
        clear(0, 1)
    :: else
    fi
}

/* Another leader is elected; the first one notices up to ELECTION later. */
inline elect()
{
    down_at = now + ELECTION;
    leads[1] = true;
#ifdef BROKEN_NEW_LEADER_WAIT
    from[1] = now;
#else
    from[1] = now + HOLD + ELECTION;
#endif
}

inline restart(h)
{
    /* Without credit; a new process applies no grant to the former one. */
    share[h] = 0;
    granted[h] = 0;
    applied[h] = sequence[h];
    applied_by[h] = NOBODY
}

active proctype system()
{
    byte free = 0;
    byte give = 0;
    byte base = 0;
    leads[0] = true;
    do
    :: atomic { now < TICKS -> tick() }
    :: atomic { sequence[0] < REQUESTS -> request(0, UNITS) }
    :: atomic { sequence[0] < REQUESTS -> request(0, 1) }
    :: atomic { sequence[1] < 1 -> request(1, UNITS) }
    :: atomic { leads[0] && asked[0] && asked_sequence[0] > seen[at(0, 0)] -> handle(0, 0) }
    :: atomic { leads[0] && asked[1] && asked_sequence[1] > seen[at(0, 1)] -> handle(0, 1) }
    :: atomic { leads[1] && asked[0] && asked_sequence[0] > seen[at(1, 0)] -> handle(1, 0) }
    :: atomic { leads[1] && asked[1] && asked_sequence[1] > seen[at(1, 1)] -> handle(1, 1) }
    :: atomic { grant_sequence[0] > 0 -> apply(0) }
    :: atomic { grant_sequence[1] > 0 -> apply(1) }
    :: atomic { !leads[1] && down_at == 0 -> elect() }
    :: atomic { share[0] > 0 -> restart(0) }
    :: now == TICKS -> break
    :: assert(share[0] + share[1] <= UNITS)
    od
}
