/* A key that was taken away: how long a node may believe it.
 *
 * The store takes a key away once, with version 2. A follower confirms at the store
 * which version is the newest, another node asks the follower how old its evidence is.
 * Messages stay under way without bound, nodes pause anywhere. A request with the key
 * comes to one of them at any time; it is let in while the evidence is younger than
 * BOUND and the node's version still has the key.
 *
 * Property (assertion): no request is let in that was sent later than BOUND after the
 * acknowledgement of version 2.
 *
 * Mutants, each of which must fail: PUSHED (an age that was told counts from its
 * receipt), FROM_ANSWER (evidence counts from the store's answer), NO_VERSION (evidence
 * counts for a version that the node has not got), VERSION_FIRST (a request takes the
 * configuration before it looks at the evidence). WITNESS: a request is let in after the
 * acknowledgement in some run.
 */

#define BOUND 2
#define LAST 4
#define NONE 100 /* before the begin of time: no evidence */

byte now = 0;
byte newest = 1;      /* in the store */
byte acked = 255;     /* when version 2 was acknowledged; 255: not yet */
byte held[2];         /* version that each node has */
short confirmed[2];   /* begin of the question that gave its evidence; -NONE: none */
byte proved[2];       /* version that the evidence is for */

proctype Clock() { do :: now < LAST -> now++ :: now == LAST -> break od }

proctype Operator() { atomic { newest = 2; acked = now } }

inline confirm(n, moment, version) {
	if
#ifdef MUTANT_NO_VERSION
	:: moment > confirmed[n] -> confirmed[n] = moment; proved[n] = version
#else
	:: held[n] >= version && moment > confirmed[n] -> confirmed[n] = moment; proved[n] = version
#endif
	:: else -> skip
	fi
}

/* Node 0 asks the store; question and answer may be late. */
proctype Follower() {
	short asked;
	byte found;
	do
	:: now < LAST ->
		atomic { asked = now }
		atomic { found = newest }
		/* the answer is under way here */
		atomic {
#ifdef MUTANT_FROM_ANSWER
			asked = now;
#endif
			if
			:: found > held[0] -> held[0] = found
			:: else -> skip
			fi;
			confirm(0, asked, found);
			asked = 0; found = 0
		}
	:: break
	od
}

/* Node 1 asks node 0. */
proctype Asker() {
	short asked, age;
	byte version, configuration;
	do
	:: now < LAST ->
		atomic { asked = now }
		atomic { age = now - confirmed[0]; version = proved[0]; configuration = held[0] }
		/* the answer is under way here */
		atomic {
#ifdef MUTANT_PUSHED
			asked = now;
#endif
			if /* the configuration may have come with it, or not */
			:: configuration > held[1] -> held[1] = configuration
			:: true -> skip
			fi;
			if
			:: age <= LAST -> confirm(1, asked - age, version)
			:: else -> skip
			fi;
			asked = 0; age = 0; version = 0; configuration = 0
		}
	:: break
	od
}

/* A client's request at a node; the node may pause between its steps. */
proctype Request() {
	byte n, sent, version;
	bool fresh;
	atomic {
		if
		:: n = 0
		:: n = 1
		fi;
		sent = now
	}
#ifdef MUTANT_VERSION_FIRST
	atomic { version = held[n] }
	atomic { fresh = (now - confirmed[n] < BOUND) }
#else
	atomic { fresh = (now - confirmed[n] < BOUND) }
	atomic { version = held[n] }
#endif
	atomic {
		if
		:: fresh && version == 1 ->
			assert(acked == 255 || sent <= acked + BOUND);
#ifdef WITNESS
			assert(acked == 255 || sent <= acked)
#endif
		:: else -> skip
		fi
	}
}

init {
	atomic {
		held[0] = 1; held[1] = 1; confirmed[0] = -NONE; confirmed[1] = -NONE; proved[0] = 1; proved[1] = 1;
		run Clock(); run Operator(); run Follower(); run Asker(); run Request()
	}
}
