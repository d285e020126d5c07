/*
 * Specification of the claim protocol of internal/mesh/core/claim for one key.
 *
 * Three nodes of one service. Each run of a node (an incarnation) may propose
 * itself as the key's executor, and runs the request if it is chosen. Voters of
 * an epoch are named by incarnation; a restarted node has lost its memory and is
 * no voter until the next epoch takes it in.
 *
 * Steps, by the names that comments in the code use:
 *   FastPropose  the key's owner proposes itself at round 0 without a prepare step
 *   Promise      a voter promises a ballot and tells what it has accepted
 *   Accept       a voter accepts an executor at a ballot
 *   Run          the executor that a majority accepted runs the request, once
 *   Seal         an old voter stops voting and gives what it holds
 *   Carry        the highest accepted executor of a majority of sealed voters
 *   Install      a new voter takes over what is carried and votes in the new epoch
 *   Activate     the platform's record says that the new epoch is in force
 *
 * Messages are not modelled as such: a proposer reads and changes one voter at a
 * time, with any delay between, which covers loss (a voter that is not visited) and a proposer that is frozen for any time.
 *
 * Checked: whatever happens the request has been run at most once (CHECK).
 *
 * Mutations, each of which must make the check fail:
 *   -DMUTANT_NO_CARRY       a new epoch begins without the old one's claims
 *   -DMUTANT_NO_SEAL        old voters go on voting
 *   -DMUTANT_FAST_OVERRIDE  round 0 does not look for claims carried over
 *   -DMUTANT_REJOIN         a voter that lost its memory goes on voting
 */

#define VOTERS     3
#define MAJORITY   2
#define PROPOSERS  3  /* incarnations 1 and 2 may be the executor */
#define NONE       255

/* Bounds that spec/run.sh searches whole: -DNO_RESTART, three proposals and one
   reconfigurer; -DTWO_PROPOSALS, two proposals, one reconfigurer and a restart;
   -DTWO_RECONFIGURERS, the same with two reconfigurers (the long one).
   -DWITNESS shows that requests run at all: it has to fail. */
#ifdef WITNESS
#define CHECK assert(runs == 0)
#else
#define CHECK assert(runs <= 1)
#endif

/* What each voter holds in its present epoch. A ballot is epoch*16 + round*4 +
   proposer; higher is later. 0 is below every ballot. */
byte epoch[VOTERS];
byte sealed[VOTERS];
byte promised[VOTERS];
byte accepted[VOTERS];
byte executor[VOTERS];
bool member[VOTERS];          /* its present incarnation is in the set of epoch 2 */

byte record_epoch = 1;        /* the platform's record */
bool record_active = true;
byte runs = 0;
bool ran[PROPOSERS];

#define BALLOT(e, r, p) ((e) * 16 + (r) * 4 + (p))

/* Round 0 skips the prepare step, so that a voter refuses it where a claim was
   carried over: it has to be found by a prepare step. */
#ifdef MUTANT_FAST_OVERRIDE
#define FAST_FITS(v, b, fast) true
#else
#define FAST_FITS(v, b, fast) (!fast || executor[v] == NONE || accepted[v] == b)
#endif

/* One visit to a voter: Promise. ok tells whether it went along. */
inline visit_prepare(v, e, b) {
	d_step {
		ok = false;
		if
		:: epoch[v] == e && sealed[v] < e && b >= promised[v] ->
			promised[v] = b;
			ok = true;
			if
			:: executor[v] != NONE && accepted[v] >= found ->
				found = accepted[v];
				value = executor[v]
			:: else
			fi
		:: else
		fi
	}
}

/* One visit to a voter: Accept. fast is the owner's round 0. */
inline visit_accept(v, e, b, fast) {
	d_step {
		ok = false;
		if
		:: epoch[v] == e && sealed[v] < e && b >= promised[v] && FAST_FITS(v, b, fast) ->
			promised[v] = b;
			accepted[v] = b;
			executor[v] = value;
			ok = true
		:: else
		fi
	}
}

/* One proposal of the incarnation me, in the epoch that the record names when it
   begins. Several proposals of one incarnation run side by side, as they do when
   one is given up and its messages are still on their way; each has a round of
   its own. Only the owner may be fast. */
proctype Proposal(byte me; byte round) {
	byte e, b, v, granted, value, found;
	bool ok, fast;
	fast = (round == 0);
end_waiting:
	atomic {
		record_active;
		e = record_epoch;
		b = BALLOT(e, round, me);
		value = me
	}
	/* FastPropose, or Promise */
	if
	:: fast -> granted = MAJORITY
	:: !fast ->
		do
		:: v < VOTERS && granted < MAJORITY ->
			if
			:: visit_prepare(v, e, b);
				if
				:: ok -> granted++
				:: else
				fi
			:: skip /* lost */
			fi;
			v++
		:: v == VOTERS || granted >= MAJORITY -> break
		od
	fi;
	if
	:: granted < MAJORITY -> goto done
	:: else
	fi;
	/* Accept */
	granted = 0;
	v = 0;
	do
	:: v < VOTERS && granted < MAJORITY ->
		if
		:: visit_accept(v, e, b, fast);
			if
			:: ok -> granted++
			:: else
			fi
		:: skip /* lost */
		fi;
		v++
	:: v == VOTERS || granted >= MAJORITY -> break
	od;
	/* Run: out of the executor's own memory, once */
	atomic {
		if
		:: granted >= MAJORITY && value == me && !ran[me] ->
			ran[me] = true;
			runs++;
			CHECK
		:: else
		fi
	}
done:
	atomic { /* dead now: fewer states */
		e = 0; b = 0; v = 0; granted = 0; value = 0; found = 0; ok = false
	}
}

/* Any node changes the voter set once: a majority of the old voters is sealed,
   what they hold is carried over. Two of them may do it at the same time. */
proctype Reconfigurer() {
	byte v, count, value, found;
	atomic {
		if
		:: record_epoch == 1 ->
			record_epoch = 2;
			record_active = false;
			member[0] = true;
			member[1] = true;
			member[2] = true
		:: record_epoch == 2 && !record_active
		:: else -> goto done
		fi
	}
	value = NONE;
	found = 0;
	count = 0;
	v = 0;
	/* Seal, Carry */
	do
	:: v < VOTERS && count < MAJORITY ->
		if
		:: atomic {
				if
				:: epoch[v] == 1 || epoch[v] == 2 ->
#ifndef MUTANT_NO_SEAL
					if
					:: sealed[v] < 1 -> sealed[v] = 1
					:: else
					fi;
#endif
					count++;
					if
					:: executor[v] != NONE && accepted[v] >= found ->
						found = accepted[v];
						value = executor[v]
					:: else
					fi;
					/* a voter of the new epoch has everything already */
					if
					:: epoch[v] == 2 -> count = MAJORITY
					:: else
					fi
				:: else
				fi
			}
		:: skip /* not reached */
		fi;
		v++
	:: v == VOTERS || count >= MAJORITY -> break
	od;
	if
	:: count < MAJORITY -> goto done
	:: else
	fi;
#ifdef MUTANT_NO_CARRY
	value = NONE;
	found = 0;
#endif
	/* Install: also at a voter that has lost its memory */
	count = 0;
	v = 0;
	do
	:: v < VOTERS ->
		if
		:: atomic {
				if
				:: !member[v] /* names an incarnation that is gone */
				:: member[v] && epoch[v] < 2 ->
					epoch[v] = 2;
					executor[v] = value;
					accepted[v] = (value == NONE -> 0 : found);
					promised[v] = accepted[v];
					count++
				:: member[v] && epoch[v] == 2 -> count++
				fi
			}
		:: skip /* not reached */
		fi;
		v++
	:: v == VOTERS -> break
	od;
	/* Activate */
	if
	:: count >= MAJORITY -> record_active = true
	:: else
	fi;
done:
	atomic {
		v = 0; count = 0; value = 0; found = 0
	}
}

/* One voter restarts without memory. */
proctype Restart() {
	byte v;
	if
	:: v = 0
	:: v = 1
	:: v = 2
	fi;
	atomic {
		promised[v] = 0;
		accepted[v] = 0;
		executor[v] = NONE;
		sealed[v] = 0;
		member[v] = false;
#ifndef MUTANT_REJOIN
		epoch[v] = 0 /* its new incarnation is no member */
#endif
	}
}

init {
	atomic {
		byte i;
		for (i : 0 .. VOTERS - 1) {
			epoch[i] = 1;
			executor[i] = NONE
		}
		run Proposal(1, 0);
		run Proposal(2, 1);
#ifdef TWO_RECONFIGURERS
		run Reconfigurer();
#elif !defined(TWO_PROPOSALS)
		run Proposal(1, 1);
#endif
		run Reconfigurer();
#ifndef NO_RESTART
		run Restart()
#endif
	}
}
