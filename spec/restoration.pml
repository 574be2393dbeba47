/*
 * A store that comes back from an older copy, an entry that follows it, and owners
 * that are fenced by the positions of their keys.
 *
 * The operator raises the version and writes the newest one again when it was lost.
 * The store's counter goes back with the copy and is given out again; its era rises.
 * The entry lists the store at any moment. A receiver keeps the highest position of an
 * owner that it has seen.
 */

#define VERSIONS 2
#define RESTORATIONS 2
#define LISTINGS 4

byte era = 1;
byte counter = 0;
byte version = 0;             /* what the store holds */
byte written = 0;             /* newest version that the operator has written */

byte known_era = 0;
byte known_counter = 0;
byte in_use = 0;              /* version that the entry serves by */

byte acquired = 0;            /* owners so far, in the order in which they acquired */
byte fence_era = 0;
byte fence_counter = 0;
byte last_accepted = 0;

proctype Operator() {
    do
    :: atomic { written < VERSIONS -> written++; version = written; counter++ }
    :: atomic { version < written -> version = written; counter++ }
    :: atomic { written == VERSIONS && version == written -> break }
    od
}

proctype Drill() {
    byte copied_counter;
    byte copied_version;
    byte done = 0;
    do
    :: done < RESTORATIONS ->
        atomic { copied_counter = counter; copied_version = version }
        atomic { era++; counter = copied_counter; version = copied_version; done++ }
    :: break
    od
}

proctype Entry() {
    byte listed = 0;
    byte before;
    bool is_newer;
    do
    :: listed < LISTINGS ->
        atomic {
            listed++;
            before = in_use;
#ifdef NO_ERA
            is_newer = counter > known_counter;
#else
            is_newer = (era > known_era
                || (era == known_era && counter > known_counter));
#endif
            if
            :: is_newer ->
                known_era = era;
                known_counter = counter;
#ifdef COPY_WINS
                in_use = version
#else
                if
                :: version > in_use -> in_use = version
                :: else -> skip
                fi
#endif
            :: else -> skip
            fi;
            assert(in_use >= version);
            assert(in_use >= before)
        }
    :: else -> break
    od
}

proctype Owner() {
    byte own_era;
    byte own_counter;
    byte order;
    byte acts = 0;
    bool is_accepted;
    atomic {
        counter++; acquired++;
        own_era = era; own_counter = counter; order = acquired
    }
    do
    :: acts < 2 ->
        atomic {
            acts++;
#ifdef FENCE_BY_COUNTER
            is_accepted = own_counter >= fence_counter;
#else
            is_accepted = (own_era > fence_era
                || (own_era == fence_era && own_counter >= fence_counter));
#endif
            if
            :: is_accepted ->
                fence_era = own_era;
                fence_counter = own_counter;
                assert(order >= last_accepted);
                last_accepted = order
            :: else -> skip
            fi
        }
    :: else -> break
    od
}

init { atomic { run Operator(); run Drill(); run Entry(); run Owner(); run Owner() } }
