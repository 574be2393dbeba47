/*
 * Proposal, veto and acceptance on one key of the store.
 *
 * Every decision is one compare-and-swap on the key's revision. An answer may
 * be lost after the write took effect; the writer then reads the key back and
 * looks for the proposal's id. The acceptor is an owner that may be paused
 * between reading the key and writing it.
 */

#define PROPOSALS 2
#define NO_PROPOSAL 255

/* The key. */
byte revision = 1;
byte version = 0;
byte pending = NO_PROPOSAL;
bool pending_vetoed = false;
bool window_passed = false;

/* History of what took effect, by proposal. */
byte accepted[PROPOSALS];
byte vetoed[PROPOSALS];

/* What was acknowledged. */
bool told_accepted[PROPOSALS];
bool told_vetoed[PROPOSALS];

inline compare_and_swap(seen, ok) {
#ifdef NO_COMPARE
    ok = true
#else
    ok = (seen == revision)
#endif
}

/* An operator proposes; a conflict means to read again and rebase. */
proctype Operator(byte id) {
    byte seen;
    bool ok;
    bool placed = false;
    byte tries = 0;
    do
    :: placed || tries == 2 -> break
    :: else ->
        atomic { seen = revision; ok = (pending == NO_PROPOSAL) }
        tries++;
        if
        :: !ok -> skip
        :: else ->
            atomic {
                compare_and_swap(seen, ok);
                if
                :: ok && accepted[id] == 0 && vetoed[id] == 0 ->
                    pending = id;
                    pending_vetoed = false;
                    window_passed = false;
                    revision++
                :: else -> skip
                fi
            }
            if
            :: ok -> placed = true
            :: else -> skip
            fi
        fi
    od
}

/* The owner of the window decides that it has passed; time is abstract. */
proctype Window() {
    do
    :: atomic { pending != NO_PROPOSAL && !window_passed ->
        window_passed = true;
        revision++ }
    :: timeout -> break
    od
}

/* A customer vetoes the proposal that it saw. */
proctype Customer(byte id) {
    byte seen;
    bool ok;
    bool lost;
    byte tries = 0;
    do
    :: tries == 2 -> break
    :: else ->
        tries++;
        atomic { seen = revision; ok = (pending == id) }
        if
        :: !ok -> skip
        :: else ->
            atomic {
                compare_and_swap(seen, ok);
                if
                :: ok ->
                    vetoed[id]++;
                    pending = NO_PROPOSAL;
                    revision++
                :: else -> skip
                fi
            }
            if
            :: ok ->
                if
                :: lost = false
                :: lost = true
                fi;
                if
                :: !lost -> told_vetoed[id] = true; break
                :: else ->
                    /* Read back by the proposal's id. */
                    if
                    :: vetoed[id] > 0 -> told_vetoed[id] = true; break
                    :: else -> skip
                    fi
                fi
            :: else ->
#ifdef TRUST_LATE_VETO
                /* A veto that met another revision is taken for granted. */
                told_vetoed[id] = true; break
#else
                skip
#endif
            fi
        fi
    od
}

/* The acceptor writes version and history in the same write. */
proctype Acceptor(byte id) {
    byte seen;
    bool ok;
    bool lost;
    byte tries = 0;
    do
    :: tries == 3 -> break
    :: else ->
        tries++;
        atomic {
            seen = revision;
#ifdef NO_WINDOW
            ok = (pending == id)
#else
            ok = (pending == id && window_passed)
#endif
        }
        if
        :: !ok -> skip
        :: else ->
retry:
            atomic {
                compare_and_swap(seen, ok);
                if
                :: ok ->
                    assert(window_passed);
                    accepted[id]++;
                    version++;
                    pending = NO_PROPOSAL;
                    revision++
                :: else -> skip
                fi
            }
            if
            :: ok ->
                if
                :: lost = false
                :: lost = true
                fi;
                if
                :: !lost -> told_accepted[id] = true; break
                :: else ->
#ifdef BLIND_RETRY
                    /* Writes again on the new revision instead of reading back. */
                    seen = revision;
                    goto retry
#else
                    if
                    :: accepted[id] > 0 -> told_accepted[id] = true; break
                    :: else -> skip
                    fi
#endif
                fi
            :: else -> skip
            fi
        fi
    od
}

/* P1: one outcome for each proposal. P2: what was told is what happened.
   P3: a proposal takes effect once, and the version counts acceptances. */
#define ONE(i) (accepted[i] + vetoed[i] <= 1)
#define TRUE(i) ((!told_vetoed[i] || vetoed[i] == 1) && (!told_accepted[i] || accepted[i] == 1))

active proctype Monitor() {
    atomic { !(ONE(0) && ONE(1) && TRUE(0) && TRUE(1) &&
               version == accepted[0] + accepted[1]) -> assert(false) }
}

init {
    atomic {
        run Operator(0); run Operator(1);
        run Window();
        run Customer(0);
        run Acceptor(0); run Acceptor(1)
    }
}
