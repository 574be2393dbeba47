/*
 * One order key with its home and its witness.
 *
 * The home runs the order only after the witness acknowledged the intent.
 * Whoever cannot reach the home asks the witness: an outcome is replayed, an
 * intent without outcome is unknown, neither is sealed and proven not run.
 * Messages and answers may be lost; the home may die, restart as another
 * incarnation, or close for a planned stop and hand its records over.
 */

mtype = { NONE, INTENT, SEALED, DONE };

mtype home = NONE;            /* the home's record of the key */
mtype witness = NONE;         /* the witness's record of the key */
bool home_alive = true;
bool closed = false;
byte runs = 0;
bool told_not_run = false;
bool told_done = false;

/* One attempt that reaches the home; there may be several at once. */
proctype Attempt() {
    bool may_run = false;
    bool first = false;
    atomic {
        if
        :: !home_alive -> goto end
        :: else -> skip
        fi;
        if
#ifndef RUN_WHEN_CLOSED
        :: closed && home == NONE -> told_not_run = true; goto end
#endif
        :: home == DONE -> told_done = true; goto end
        :: home == SEALED -> told_not_run = true; goto end
#ifdef NO_RECORD
        :: else -> first = true; home = INTENT
#else
        :: home == INTENT -> goto end           /* waits for the first attempt */
        :: else -> first = true; home = INTENT
#endif
        fi
    }
    /* Ask the witness to record the intent. */
    if
    :: atomic { witness == SEALED -> may_run = false }
    :: atomic { witness != SEALED -> witness = INTENT; may_run = true }
    :: atomic { witness != SEALED -> witness = INTENT; may_run = false }   /* answer lost */
    :: may_run = false                                                     /* not reached */
    fi;
#ifdef NO_WITNESS
    may_run = true;
#endif
    atomic {
        if
        :: !home_alive -> goto end
        :: home_alive && !may_run -> home = SEALED; told_not_run = true; goto end
        :: else -> skip
        fi;
        runs++;
        home = DONE
    }
    /* The outcome reaches the witness, or the home dies before. */
    if
    :: atomic { home_alive && witness == INTENT -> witness = DONE }
    :: skip
    fi;
    if
    :: home_alive -> told_done = true
    :: else -> skip
    fi;
end: skip
}

/* An entry that could not reach the home asks the witness. */
proctype Judge() {
    atomic {
        if
        :: witness == DONE -> told_done = true
        :: witness == INTENT -> skip            /* unknown */
        :: witness == SEALED -> told_not_run = true
        :: else ->
#ifndef NO_SEAL
            witness = SEALED;
#endif
            told_not_run = true
        fi
    }
}

/* The home dies; a new incarnation has no records of the key. */
proctype Death() {
    if
    :: home_alive = false;
#ifdef RESTART_RUNS_OLD_KEYS
        atomic { home = NONE; home_alive = true }
#endif
    :: skip
    fi
}

/* A planned stop: close, finish what runs, hand the records over. An adopter
   answers from the records, and "not run" for a key that they lack. */
proctype Stop() {
    if
    :: atomic { closed = true };
#ifndef HAND_OVER_IN_FLIGHT
        (home != INTENT);
#endif
        atomic {
            if
            :: home == DONE -> told_done = true
            :: home == SEALED || home == NONE -> told_not_run = true
            :: home == INTENT -> told_not_run = true
            fi
        }
    :: skip
    fi
}

/* P1: at most one run. P2: "not run" is true for ever. P3: "done" is true. */
active proctype Monitor() {
    atomic { !(runs <= 1 && !(told_not_run && runs > 0) && !(told_done && runs == 0)) -> assert(false) }
}

init {
    atomic { run Attempt(); run Attempt(); run Judge(); run Death(); run Stop() }
}
