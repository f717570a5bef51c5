/*
 * Replicated log: elections, appends, commit and one membership change.
 * docs/models/consensus.md names the function behind each action.
 *
 * A request reads the state of its sender at the moment it is handled; its
 * answer (granted, acked) stays until the term ends, so it can be counted
 * arbitrarily late. What is lost or repeated is covered by actions that don't
 * happen or happen again. Terms, log and crashes are bounded.
 */

#define N 3
/* Sizes of the arrays; the bounds of a run are variables. */
#define MAX_TERM 4
#define MAX_LOG 2

/* An entry is 2 * term, plus 1 if it changes the membership; 0: none. */
#define ENTRY_TERM(e) ((e) >> 1)
#define IS_CHANGE(e) ((e) & 1)
#define LOG(r, i) log[(r) * MAX_LOG + (i)]
#define ACKED(r, s) acked[(r) * N + (s)]
#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

byte term[N];           /* Durable as soon as it changes. */
byte voted[N];          /* Replica number + 1; durable before it is told. */
byte log[N * MAX_LOG];
byte length[N];
byte synced[N];         /* Entries that survive a crash. */
bool candidate[N];
bool leader[N];
byte granted[N];        /* Set of voters, in the current term of r. */
byte acked[N * N];      /* Entries that s has synced for leader r. */

byte crashes;
byte chosen[MAX_LOG];   /* The first entry committed at each index. */
byte chosen_term;       /* Highest term of a leader that committed. */
byte leader_of[MAX_TERM + 1]; /* Replica number + 1. */

/* Temporary; 0 between actions. */
byte i, n;

/* Bounds and voters, chosen at the start. */
byte max_term, max_log, max_crashes;
byte old_voters, new_voters;
#define HAS_CHANGE(r) \
    ((length[r] > 0 && IS_CHANGE(LOG(r, 0))) || \
     (length[r] > 1 && IS_CHANGE(LOG(r, 1))))
#define VOTERS(r) (HAS_CHANGE(r) -> new_voters : old_voters)
#define QUORUM(set) (COUNT(set) / 2 + 1)

#define LAST_TERM(r) \
    (length[r] == 0 -> 0 : ENTRY_TERM(LOG(r, length[r] - 1)))
#ifdef BROKEN_LOG_CHECK
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) \
    (LAST_TERM(c) > LAST_TERM(v) || \
     (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif

inline forget_answers(r)
{
    granted[r] = 0;
    ACKED(r, 0) = 0;
    ACKED(r, 1) = 0;
    ACKED(r, 2) = 0;
}

inline enter_term(r, t)
{
    if
    :: term[r] < t ->
        term[r] = t;
        voted[r] = 0;
        candidate[r] = false;
        leader[r] = false;
        forget_answers(r)
    :: else
    fi
}

/*
 * A leader steps down first. Replicas 0 and 1 are alike at the start, so the
 * first to stand need not be 1.
 */
#define CAN_STAND(r) \
    (term[r] < max_term && (VOTERS(r) & BIT(r)) && \
     ((r) != 1 || term[0] + term[1] + term[2] > 0))
inline stand(r)
{
    enter_term(r, term[r] + 1);
    candidate[r] = true;
    voted[r] = r + 1;
    granted[r] = BIT(r)
}

#define CAN_VOTE(c, v) \
    (candidate[c] && !(granted[c] & BIT(v)) && UP_TO_DATE(c, v) && \
     (VOTERS(c) & BIT(v)) && \
     (term[v] < term[c] || (term[v] == term[c] && voted[v] == 0)))
inline vote(c, v)
{
    enter_term(v, term[c]);
    voted[v] = c + 1;
    granted[c] = granted[c] | BIT(v)
}

#define CAN_WIN(c) \
    (candidate[c] && \
     COUNT(granted[c] & VOTERS(c)) >= QUORUM(VOTERS(c)))
inline win(c)
{
    candidate[c] = false;
    leader[c] = true;
    granted[c] = 0;
    assert(leader_of[term[c]] == 0);
    leader_of[term[c]] = c + 1;
    /* A leader has every entry committed in an earlier term. */
    i = 0;
    do
    :: i < MAX_LOG && chosen[i] != 0 ->
        assert(term[c] <= chosen_term ||
               (i < length[c] && LOG(c, i) == chosen[i]));
        i++
    :: else -> break
    od;
    i = 0
}

#define CAN_PROPOSE(r) (leader[r] && length[r] < max_log)
inline propose(r, change)
{
    LOG(r, length[r]) = 2 * term[r] + change;
    length[r]++
}

/* n: entries that both logs have in common. */
inline common(r, s)
{
    n = 0;
    do
#ifdef BROKEN_APPEND
    :: n < length[r] && n < length[s] -> n++
#else
    :: n < length[r] && n < length[s] && LOG(r, n) == LOG(s, n) -> n++
#endif
    :: else -> break
    od
}

#define CAN_APPEND(l, f) (leader[l] && term[f] <= term[l] && length[l] > 0)
inline append(l, f)
{
    enter_term(f, term[l]);
    common(l, f);
    if
    :: n < length[l] ->
        /* One entry; what follows a conflict is dropped. */
        synced[f] = (synced[f] < n -> synced[f] : n);
        LOG(f, n) = LOG(l, n);
        i = n + 1;
        do
        :: i < MAX_LOG -> LOG(f, i) = 0; i++
        :: else -> break
        od;
        length[f] = n + 1;
        i = 0
    :: else
    fi;
    n = 0
}

#define CAN_SYNC(r) (synced[r] < length[r])
inline sync(r)
{
    synced[r] = length[r]
}

#define CAN_ACK(l, f) (leader[l] && term[f] == term[l])
inline ack(l, f)
{
    common(l, f);
#ifndef BROKEN_SYNC
    n = (n < synced[f] -> n : synced[f]);
#endif
    ACKED(l, f) = (n > ACKED(l, f) -> n : ACKED(l, f));
    n = 0
}

#define HAS(l, s, k) \
    ((VOTERS(l) & BIT(s)) && \
     ((l) == (s) -> synced[s] >= (k) : ACKED(l, s) >= (k)))
#define HOLDERS(l, k) (HAS(l, 0, k) + HAS(l, 1, k) + HAS(l, 2, k))
#ifdef BROKEN_COMMIT
#define COUNTS(l, k) true
#else
#define COUNTS(l, k) (ENTRY_TERM(LOG(l, (k) - 1)) == term[l])
#endif
#define CAN_COMMIT(l, k) \
    (leader[l] && length[l] >= (k) && COUNTS(l, k) && \
     HOLDERS(l, k) >= QUORUM(VOTERS(l)))
inline commit(l, k)
{
    i = 0;
    do
    :: i < k ->
        assert(chosen[i] == 0 || chosen[i] == LOG(l, i));
        chosen[i] = LOG(l, i);
        i++
    :: else -> break
    od;
    i = 0;
    chosen_term = (term[l] > chosen_term -> term[l] : chosen_term)
}

#define CAN_CRASH(r) (crashes < max_crashes && term[r] > 0)
inline crash(r)
{
    crashes++;
    length[r] = synced[r];
    i = length[r];
    do
    :: i < MAX_LOG -> LOG(r, i) = 0; i++
    :: else -> break
    od;
    i = 0;
    candidate[r] = false;
    leader[r] = false;
#ifdef BROKEN_VOTE
    voted[r] = 0;
#endif
    forget_answers(r)
}

#define ONE(r) \
    :: CAN_STAND(r) -> d_step { stand(r) } \
    :: CAN_WIN(r) -> d_step { win(r) } \
    :: CAN_PROPOSE(r) -> d_step { propose(r, 0) } \
    :: CAN_PROPOSE(r) && !HAS_CHANGE(r) -> d_step { propose(r, 1) } \
    :: CAN_SYNC(r) -> d_step { sync(r) } \
    :: CAN_COMMIT(r, 1) && chosen[0] != LOG(r, 0) -> \
        d_step { commit(r, 1) } \
    :: CAN_COMMIT(r, 2) && chosen[1] != LOG(r, 1) -> \
        d_step { commit(r, 2) } \
    :: CAN_CRASH(r) -> d_step { crash(r) }

#define TWO(r, s) \
    :: CAN_VOTE(r, s) -> d_step { vote(r, s) } \
    :: CAN_APPEND(r, s) -> d_step { append(r, s) } \
    :: CAN_ACK(r, s) -> d_step { ack(r, s) }

active proctype replicas()
{
    if
#ifdef BROKEN_MEMBERSHIP
    /* Two voters at once. */
    :: d_step {
           old_voters = 1; new_voters = 7;
           max_term = 3; max_log = 2; max_crashes = 1
       }
#else
#ifndef BROKEN_COMMIT   /* Its violation is in the other start. */
    /* Replica 2 is promoted. */
    :: d_step {
           old_voters = 3; new_voters = 7;
           max_term = 3; max_log = 2; max_crashes = 1
       }
#endif
    /* Replica 2 is removed. With three voters and four terms an entry that was
       committed in a later term by counting replicas can be lost. */
    :: d_step {
           old_voters = 7; new_voters = 3;
           max_term = 4; max_log = 1; max_crashes = 0
       }
#endif
    fi;
end:
    do
    ONE(0)
    ONE(1)
    ONE(2)
    TWO(0, 1)
    TWO(0, 2)
    TWO(1, 0)
    TWO(1, 2)
    TWO(2, 0)
    TWO(2, 1)
    od
}
