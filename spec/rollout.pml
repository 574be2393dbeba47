/*
 * The version in force on two nodes and what one caller sees.
 *
 * The store accepts versions; it may be down, and it may answer with an older
 * state. Nodes restart with nothing and learn from the store or from a peer.
 * A caller moves between the nodes and carries the version that it has seen.
 */

#define LAST 3
#define NODES 2

byte accepted = 1;            /* the newest version */
byte force[NODES];            /* in force; 0 means none, nothing is served */
byte caller = 0;              /* the newest version an answer has shown */
byte restarts = 0;

/* A node takes a version from any source. */
inline take(node, offered) {
#ifdef NO_FLOOR
    force[node] = offered
#else
    if
    :: offered > force[node] -> force[node] = offered
    :: else -> skip
    fi
#endif
}

proctype Store() {
    do
    :: atomic { accepted < LAST -> accepted++ }
    :: accepted == LAST -> break
    od
}

proctype Node(byte me) {
    byte before;
    byte old;
    byte steps = 0;
    do
    :: steps == 4 -> break
    :: steps < 4 -> steps++;
        before = force[me];
        if
        :: /* A watch answers, perhaps with an older state. */
            atomic {
                old = 1;
                do
                :: old < accepted -> old++
                :: break
                od;
                take(me, old);
                assert(force[me] >= before)
            }
        :: /* A peer, perhaps behind, tells its version. */
            atomic {
                force[1 - me] > 0 ->
                take(me, force[1 - me]);
                assert(force[me] >= before)
            }
        :: /* The process restarts and keeps nothing. */
            atomic { restarts < 2 -> restarts++; force[me] = 0 }
        :: skip
        fi
    od
}

/* An answer shows the version in force; a node behind the caller catches up
   first or refuses; a node with no version refuses. */
proctype Caller() {
    byte asked = 0;
    byte node;
    do
    :: asked == 4 -> break
    :: asked < 4 -> asked++;
        if
        :: node = 0
        :: node = 1
        fi;
        atomic {
            if
#ifdef SERVE_WITHOUT_VERSION
            :: true ->
#else
            :: force[node] > 0 ->
#endif
#ifdef NO_CALLER_VERSION
                assert(force[node] >= caller);
                caller = force[node]
#else
                if
                :: force[node] >= caller ->
                    assert(force[node] > 0);
                    caller = force[node]
                :: else -> skip     /* refused until it has caught up */
                fi
#endif
            :: else -> skip
            fi
        }
    od
}

init { atomic { run Store(); run Node(0); run Node(1); run Caller() } }
