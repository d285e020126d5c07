/* The fence between nodes: how "not run" is made true after a broken connection.
 *
 * A sender sends one request that may run at most once to a gate. The message
 * may be delayed without bound, the connection may break at any moment, the gate
 * may restart and lose its memory. A sender that lost its connection asks the
 * gate, naming the incarnation that it sent to; the question may be asked again.
 * With "not run" the sender may send the request to a second gate.
 *
 * Properties (assertions):
 *  - the request runs at most once, over both gates;
 *  - a sender that tells its client "not run" is right for ever.
 *
 * Mutants, each of which must fail: NO_FENCE (a gate says "not run" without
 * noting it), LATE_CHECK (the gate checks when the request arrives, not when it
 * sends), ANY_INCARNATION (a restarted gate answers for its predecessor).
 * WITNESS: the second gate does run the request in some run.
 */

#define UNSEEN 0
#define WAITING 1
#define SENT 2
#define FENCED 3

byte state[2];        /* what each gate remembers */
byte incarnation[2];
byte runs;            /* at the targets */
bool denied;          /* the client was told "not run", for good */
bool underWay[2];     /* the request's bytes are in the network */
byte addressed[2];    /* incarnation that they name */

/* One step of a gate that takes the bytes. */
inline arrive(g) {
	underWay[g] = false;
	if
	:: addressed[g] != incarnation[g] -> skip   /* refused: another process */
	:: else ->
		if
		:: state[g] == UNSEEN -> state[g] = WAITING
		:: else -> skip                         /* fenced, or it has come before */
		fi
	fi
}

proctype Gate(byte g) {
	bool checked = false;
	do
	:: atomic { underWay[g] -> arrive(g) }
#ifdef MUTANT_LATE_CHECK
	:: atomic { state[g] == WAITING && !checked -> checked = true }
	:: atomic { checked -> checked = false; state[g] = SENT; runs++; assert(runs <= 1); assert(!denied) }
#else
	:: atomic { state[g] == WAITING -> state[g] = SENT; runs++; assert(runs <= 1); assert(!denied) }
#endif
	:: atomic { incarnation[g] < 1 -> incarnation[g]++; state[g] = UNSEEN; checked = false }  /* restart */
	:: atomic { !underWay[g] -> break }
	od
}

/* The answer to the question what became of the request. */
inline settle(g, answer) {
	if
#ifndef MUTANT_ANY_INCARNATION
	:: addressed[g] != incarnation[g] -> answer = SENT  /* unknown: treated as if it may have run */
#endif
	:: else ->
		if
		:: state[g] == SENT -> answer = SENT
		:: else ->
			answer = FENCED;
#ifndef MUTANT_NO_FENCE
			state[g] = FENCED
#endif
		fi
	fi
}

active proctype Sender() {
	byte answer;
	byte g = 0;
	do
	:: g < 2 ->
		atomic { addressed[g] = incarnation[g]; underWay[g] = true; run Gate(g) }
		/* the connection breaks here, or the sender waits: both are the same to it */
		answer = UNSEEN;
		if
		:: atomic { true -> settle(g, answer) }
		:: atomic { true -> answer = SENT }             /* no answer to the question */
		fi;
		if
		:: answer == FENCED -> g++                      /* another gate may be tried */
		:: else -> break
		fi
	:: else -> atomic { denied = true; assert(runs == 0) }; break
	od
#ifdef WITNESS
	;
	(runs == 1 && g == 1);
	assert(false)
#endif
}
