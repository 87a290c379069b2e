/*
 * Gang protocol: one job, its record in the store, the placement holder and
 * its successor, entries that grant gang leases, and the agents of workers.
 * README.md gives the abstractions and the bounds.
 *
 * Every process is a loop of atomic actions over global state. A request in
 * flight is a value in the state: it may be taken at any later time or never.
 * Refusing a request has the same effect as never taking it, so only
 * acceptance is an action.
 */

#ifndef MEMBERS
#define MEMBERS 2
#endif
#define AGENTS (MEMBERS + 1)
#ifndef ROUNDS
#define ROUNDS 3                /* reservation rounds that leave a trace */
#endif
#define ENTRIES 3               /* 0 first holder, 1 successor, 2 grants leases only */
#ifndef AGENT_CRASHES
#define AGENT_CRASHES 1
#endif
#ifndef REMOVALS
#define REMOVALS 1
#endif

/* The properties that are checked: all, or the one that ONLY gives. */
#ifdef ONLY
#define CHECK(p, x) assert(ONLY != p || (x))
#else
#define CHECK(p, x) assert(x)
#endif
#define A 1
#define B 2
#define C 3
#define D 4
#define E 5

/* Job states. Starting stands for Starting, Running and Stopping. */
#define QUEUED 0
#define STARTING 1
#define CANCELLED 2
#define UNKNOWN 3

/* Stages of the placing entry's work on the job. */
#define IDLE 0
#define RESERVING 1
#define RECORDING 2
#define FENCING 3
#define WAITING 4
#define CLOSING 5

#define NONE 0

/* Store writes in flight. */
#define SENT 1
#define TOOK 2
#define REFUSED 3

/* Members at their agents. */
#define RESERVED 1
#define RUNNING 2

/* Replies to Stop. */
#define STOPPED 1
#define NEVER_STARTED 2

#define SLOTS (ROUNDS * MEMBERS)
#define X(r, m) ((r) * MEMBERS + (m))
#define AT(r, m) ((place[r] + (m)) % AGENTS)

/* Store: the record of the job. Its round stands for placement and WriteID. */
byte version;
byte jobState;
byte jobAttempt;
byte jobRound;

/* Reservation rounds. */
byte rounds;
bit author[ROUNDS];             /* the epoch is the author's */
byte attempt[ROUNDS];
byte place[ROUNDS];
bit recorded[ROUNDS];
bit committed[ROUNDS];          /* Commit was sent to all members */
bit stopping[ROUNDS];           /* Stop was sent to all members */
bit accepted[SLOTS];            /* Reserve */
bit started[SLOTS];
byte stop[SLOTS];               /* reply to Stop; also the mark at the agent */
bit bootOf[SLOTS];              /* boot of the agent that accepted */

/* Entries. */
bit held[2];                    /* placement lease, by the holder's clock */
bit taken;                      /* the successor has taken over */
byte stage[2];
byte round[2];
byte known[2];                  /* record as last read or written */
byte knownState[2];
byte knownAttempt[2];
byte knownRound[2];
byte write[2];
byte writeBase[2];
byte writeState[2];
byte writeRound[2];
byte fenced[ENTRIES];           /* highest fenced attempt */
bit removed[ENTRIES];
bit ended[ENTRIES];             /* the authority of a removed entry has ended */
byte removals;

/* Agents. */
bit dead[AGENTS];
bit boot[AGENTS];
byte task[AGENTS];
byte taskRound[AGENTS];
bit covered[AGENTS];            /* reservation or lease that the wait outlasts */
byte agentCrashes;

bit notRun;                     /* the job was answered as not run */

#ifdef VIEWS
byte view[ENTRIES * AGENTS];    /* running round + 1 in the last fresh report */
#define VIEW(e, i) view[(e) * AGENTS + (i)]
bit broken[ROUNDS];             /* a member is gone for longer than MemberFresh */
byte late[AGENTS];              /* report in flight */
#endif

hidden byte k;
hidden byte j;

#define HOLDS(e) held[e]

inline Uncover() {
	for (k : 0 .. (AGENTS - 1)) {
		covered[k] = 0
	}
	k = 0
}

inline ClearTask(i) {
	task[i] = NONE; taskRound[i] = 0; covered[i] = 0
}

/* Drops a round that will never be recorded. Its reservations can start
   nothing, and its number is free again if no later round exists. */
inline DropRound(r) {
	j = 0;
	do
	:: j < AGENTS ->
		if
		:: task[j] == RESERVED && taskRound[j] == r -> ClearTask(j)
		:: else
		fi;
		j++
	:: else -> break
	od;
	j = 0;
	do
	:: j < MEMBERS -> accepted[X(r, j)] = 0; bootOf[X(r, j)] = 0; j++
	:: else -> break
	od;
	author[r] = 0; attempt[r] = 0; place[r] = 0;
	if
	:: r + 1 == rounds -> rounds--
	:: else
	fi;
	if
	:: rounds > 0 && attempt[rounds - 1] == 0 -> rounds--
	:: else
	fi
}

/* Gives a closed round without members one form, to save states: nothing can
   start in it any more, and nobody asks about it. */
inline Retire(r) {
#if !defined(VIEWS) && !defined(NO_RESERVE_ONCE) && !defined(NO_EPOCH_CHECK)
	j = 0;
	do
	:: j < AGENTS && (task[j] == NONE || taskRound[j] != r) -> j++
	:: else -> break
	od;
	if
	:: j == AGENTS ->
		j = 0;
		do
		:: j < MEMBERS ->
			started[X(r, 0)] = started[X(r, 0)] || started[X(r, j)];
			started[X(r, j)] = (j == 0 -> started[X(r, 0)] : 0);
			accepted[X(r, j)] = 1; stop[X(r, j)] = STOPPED; bootOf[X(r, j)] = 0;
			j++
		:: else -> break
		od;
		j = 0;
		do
		:: j < ENTRIES ->
			fenced[j] = (fenced[j] < attempt[r] -> attempt[r] : fenced[j]);
			j++
		:: else -> break
		od;
		author[r] = 0; place[r] = 0
	:: else
	fi
#else
	skip
#endif
}

inline Idle(e) {
	stage[e] = IDLE; round[e] = 0
}

inline ClearWrite(e) {
	write[e] = NONE; writeBase[e] = 0; writeState[e] = 0; writeRound[e] = 0
}

/* Ends what an entry knows as holder. A write in flight may still take effect. */
inline ForgetHolder(e) {
	if
	:: stage[e] == RESERVING -> DropRound(round[e])
	:: stage[e] == RECORDING && write[e] == REFUSED -> DropRound(round[e])
	:: stage[e] == WAITING -> Uncover()
	:: else
	fi;
	if
	:: write[e] > SENT -> ClearWrite(e)
	:: else
	fi;
	held[e] = 0; Idle(e);
	known[e] = 0; knownState[e] = 0; knownAttempt[e] = 0; knownRound[e] = 0
}

inline Learn(e) {
	known[e] = version; knownState[e] = jobState; knownAttempt[e] = jobAttempt; knownRound[e] = jobRound
}

/* ---- placing entry ---- */

inline Reserve(e, where) {
	d_step {
		HOLDS(e) && stage[e] == IDLE && write[e] == NONE && knownState[e] == QUEUED && rounds < ROUNDS &&
			(rounds > 0 || where == 0) ->
		round[e] = rounds;
		rounds++;
		author[round[e]] = e;
		place[round[e]] = where;
		attempt[round[e]] = knownAttempt[e] + 1;
		/* The members of earlier attempts have stopped. */
		for (k : 0 .. (AGENTS - 1)) {
			CHECK(C, task[k] != RUNNING)
		}
		k = 0;
		stage[e] = RESERVING
	}
}

inline GiveUp(e) {
	d_step {
		HOLDS(e) && stage[e] == RESERVING ->
		DropRound(round[e]);
		Idle(e)
	}
}

#if MEMBERS == 2
#define ALL_ACCEPTED(r) (accepted[X(r, 0)] && accepted[X(r, 1)])
#define ALL_CONFIRMED(r) (CONFIRMED(r, 0) && CONFIRMED(r, 1))
#define ALL_NEVER(r) (stop[X(r, 0)] == NEVER_STARTED && stop[X(r, 1)] == NEVER_STARTED)
#define NONE_COVERED (!covered[0] && !covered[1] && !covered[2])
#else
#define ALL_ACCEPTED(r) (accepted[X(r, 0)] && accepted[X(r, 1)] && accepted[X(r, 2)])
#define ALL_CONFIRMED(r) (CONFIRMED(r, 0) && CONFIRMED(r, 1) && CONFIRMED(r, 2))
#define ALL_NEVER(r) (stop[X(r, 0)] == NEVER_STARTED && stop[X(r, 1)] == NEVER_STARTED && stop[X(r, 2)] == NEVER_STARTED)
#define NONE_COVERED (!covered[0] && !covered[1] && !covered[2] && !covered[3])
#endif

#ifdef NO_FULL_RESERVATION
#define RECORDABLE(r) accepted[X(r, 0)]
#else
#define RECORDABLE(r) ALL_ACCEPTED(r)
#endif

inline Record(e) {
	d_step {
		HOLDS(e) && stage[e] == RESERVING && RECORDABLE(round[e]) ->
#ifdef NO_RECORD
		committed[round[e]] = 1;
#endif
		write[e] = SENT; writeBase[e] = known[e]; writeState[e] = STARTING;
		writeRound[e] = round[e]; stage[e] = RECORDING
	}
}

/* The answer to a write. The holder sends Commit at once: a holder that stops
   before that is one whose commits are lost. */
inline Answered(e) {
	d_step {
		HOLDS(e) && write[e] > SENT ->
		if
		:: write[e] == TOOK ->
			known[e] = writeBase[e] + 1; knownState[e] = writeState[e]; knownRound[e] = writeRound[e];
			knownAttempt[e] = attempt[writeRound[e]];
			if
			:: writeState[e] == STARTING -> committed[writeRound[e]] = 1
			:: else
			fi
		:: write[e] == REFUSED && writeState[e] == STARTING -> DropRound(writeRound[e])
		:: else
		fi;
		ClearWrite(e);
		Idle(e)
	}
}

/* The answer to a write is lost. The holder does not know the outcome, and a
   write still in flight may take effect later. */
inline AnswerLost(e) {
	d_step {
		HOLDS(e) && (stage[e] == RECORDING || stage[e] == CLOSING) ->
		if
		:: write[e] == REFUSED && stage[e] == RECORDING -> DropRound(writeRound[e])
		:: else
		fi;
		if
		:: write[e] > SENT -> ClearWrite(e)
		:: else
		fi;
		Idle(e)
	}
}

inline Read(e) {
	d_step {
		HOLDS(e) && stage[e] == IDLE && known[e] != version ->
		Learn(e)
	}
}

inline EndAttempt(e) {
	d_step {
		HOLDS(e) && stage[e] == IDLE && write[e] == NONE && knownState[e] == STARTING ->
		round[e] = knownRound[e];
		stopping[round[e]] = 1;
		stage[e] = FENCING
	}
}

inline Fence(e, g) {
	d_step {
		HOLDS(e) && stage[e] == FENCING && !removed[g] && fenced[g] < attempt[round[e]] ->
		fenced[g] = attempt[round[e]]
	}
}

/* The remover waits until the authority of the removed entry has ended. */
inline Remove(e, g) {
	d_step {
		HOLDS(e) && stage[e] == FENCING && e != g && fenced[g] < attempt[round[e]] && !removed[g] &&
			removals < REMOVALS ->
		removed[g] = 1;
#ifndef NO_SETTLE
		ended[g] = 1;
#endif
		removals++
	}
}

#define ACKED(e, g) (fenced[g] >= attempt[round[e]])
#ifdef NO_FENCE
#define SAFE(e, g) true
#else
#define SAFE(e, g) (ACKED(e, g) || removed[g])
#endif

/* The wait is ReserveFor + GangLease + Margin: it outlasts the reservations and
   leases that exist now, and the leases of commits on these reservations. */
#ifdef NO_RESERVATION_DEADLINE
#define OUTLASTED(i) (task[i] == RUNNING)
#else
#define OUTLASTED(i) (task[i] != NONE)
#endif

inline BeginWait(e) {
	d_step {
		HOLDS(e) && stage[e] == FENCING && SAFE(e, 0) && SAFE(e, 1) && SAFE(e, 2) ->
		for (k : 0 .. (AGENTS - 1)) {
			covered[k] = OUTLASTED(k)
		}
		k = 0;
		stage[e] = WAITING
	}
}

#define CONFIRMED(r, m) (stop[X(r, m)] != NONE || (!dead[AT(r, m)] && boot[AT(r, m)] != bootOf[X(r, m)]))
#ifdef NO_LEASE_WAIT
#define WAIT_OVER(r) true
#else
#define WAIT_OVER(r) (NONE_COVERED || ALL_CONFIRMED(r))
#endif

inline Close(e, s) {
	Uncover();
	write[e] = SENT; writeBase[e] = known[e]; writeState[e] = s;
	writeRound[e] = round[e]; stage[e] = CLOSING
}

inline WaitOver(e) {
	d_step {
		HOLDS(e) && stage[e] == WAITING && WAIT_OVER(round[e]) ->
#if defined(ONCE) && !defined(NO_ONCE)
		Close(e, UNKNOWN)
#else
		Close(e, QUEUED)
#endif
	}
}

/* Every member is proved never started. */
inline Requeue(e) {
	d_step {
		HOLDS(e) && (stage[e] == FENCING || stage[e] == WAITING) && ALL_NEVER(round[e]) ->
		Close(e, QUEUED)
	}
}

/* The holder makes no step until its lease has lapsed at the store. A crash is
   a pause without end: what the entry sent is in flight, and it grants nothing
   and acknowledges no fence unless it takes those steps. */
inline Pause(e) {
	d_step {
		HOLDS(e) -> ForgetHolder(e)
	}
}

/* The lease lapses at the holder before it lapses at the store. */
inline TakeOver() {
	d_step {
		!removed[1] && !taken && !held[0] ->
		taken = 1; held[1] = 1; Learn(1)
	}
}

/* ---- store ---- */

#ifdef NO_COMPARE
#define MATCHES(e) (writeState[e] == STARTING || writeBase[e] == version)
#else
#define MATCHES(e) (writeBase[e] == version)
#endif

inline Swap(e) {
	d_step {
		write[e] == SENT ->
		if
		:: MATCHES(e) ->
			version++;
			jobState = writeState[e];
			jobRound = writeRound[e];
			jobAttempt = attempt[writeRound[e]];
			if
			:: writeState[e] == STARTING -> recorded[writeRound[e]] = 1
			:: else -> Retire(writeRound[e])
			fi;
			write[e] = TOOK
		:: else -> write[e] = REFUSED
		fi;
		if
		:: stage[e] == IDLE ->
			if
			:: write[e] == REFUSED && writeState[e] == STARTING -> DropRound(writeRound[e])
			:: else
			fi;
			ClearWrite(e)
		:: else
		fi
	}
}

/* A write is lost on its way and its author has given it up. */
inline WriteLost(e) {
	d_step {
		write[e] == SENT && stage[e] == IDLE ->
		if
		:: writeState[e] == STARTING -> DropRound(writeRound[e])
		:: else
		fi;
		ClearWrite(e)
	}
}

#if defined(NO_CANCEL_COMPARE)
#define CANCELLABLE (jobState != CANCELLED)
#elif defined(CANCEL_RESTARTED)
#define CANCELLABLE (jobState == QUEUED)
#else
#define CANCELLABLE (jobState == QUEUED && jobAttempt == 0)
#endif

/* By any entry. The caller is answered "not run". A lost answer makes no claim
   and is left out. */
inline Cancel() {
	d_step {
		!notRun && CANCELLABLE ->
		version++;
		jobState = CANCELLED;
		notRun = 1;
		for (k : 0 .. (SLOTS - 1)) {
			CHECK(E, !started[k])
		}
		k = 0
	}
}

/* ---- agents ---- */

#ifdef NO_EPOCH_CHECK
#define SAME(p, q) (attempt[p] == attempt[q])
#else
#define SAME(p, q) ((p) == (q))
#endif
/* A Reserve whose author has given up can only block others. */
#define AWAITED(r) (stage[author[r]] == RESERVING && round[author[r]] == r)

inline AcceptReserve(r, m) {
	d_step {
		r < rounds && !accepted[X(r, m)] && AWAITED(r) && !dead[AT(r, m)] && task[AT(r, m)] != RUNNING ->
		task[AT(r, m)] = RESERVED;
		taskRound[AT(r, m)] = r;
		covered[AT(r, m)] = 0;
		bootOf[X(r, m)] = boot[AT(r, m)];
		accepted[X(r, m)] = 1
	}
}

#ifdef NO_RESERVE_ONCE
/* A duplicate of Reserve makes a new reservation. */
inline RepeatReserve(r, m) {
	d_step {
		r < rounds && accepted[X(r, m)] && recorded[r] && !dead[AT(r, m)] && task[AT(r, m)] == NONE ->
		task[AT(r, m)] = RESERVED;
		taskRound[AT(r, m)] = r;
		covered[AT(r, m)] = 0
	}
}
#endif

#ifdef NO_STOP_MARK
#define UNMARKED(r, m) true
#else
#define UNMARKED(r, m) (stop[X(r, m)] == NONE)
#endif

/* Commit stays in flight: a duplicate finds no reservation. */
inline Commit(r, m) {
	d_step {
		r < rounds && committed[r] && !dead[AT(r, m)] && task[AT(r, m)] == RESERVED &&
			SAME(taskRound[AT(r, m)], r) && UNMARKED(r, m) ->
		task[AT(r, m)] = RUNNING;
		taskRound[AT(r, m)] = r;
#ifdef SHORT_WAIT
		/* The wait does not cover a lease that begins after it. */
		covered[AT(r, m)] = 0;
#endif
		started[X(r, m)] = 1;
		for (k : 0 .. (AGENTS - 1)) {
			CHECK(A, task[k] != RUNNING || taskRound[k] == r)
		}
		k = 0;
		CHECK(B, ALL_ACCEPTED(r) && recorded[r]);
#ifdef ONCE
		for (k : 0 .. (SLOTS - 1)) {
			CHECK(D, !started[k] || k / MEMBERS == r)
		}
		k = 0;
#endif
		CHECK(E, !notRun);
#ifdef WITNESS
		assert(r == 0)
#endif
	}
}

/* The reply is proof only if this boot would know of the start. */
#define SAME_BOOT(r, m) (boot[AT(r, m)] == bootOf[X(r, m)])
#ifdef NO_BOOT_CHECK
#define PROVED(r, m) (!(started[X(r, m)] && SAME_BOOT(r, m)))
#else
#define PROVED(r, m) (!started[X(r, m)] && SAME_BOOT(r, m))
#endif

inline Stop(r, m) {
	d_step {
		r < rounds && stopping[r] && stop[X(r, m)] == NONE && !dead[AT(r, m)] ->
		if
		:: task[AT(r, m)] == RUNNING && taskRound[AT(r, m)] == r -> ClearTask(AT(r, m))
#ifndef NO_STOP_MARK
		:: task[AT(r, m)] == RESERVED && taskRound[AT(r, m)] == r -> ClearTask(AT(r, m))
#endif
		:: else
		fi;
		stop[X(r, m)] = (PROVED(r, m) -> NEVER_STARTED : STOPPED)
	}
}

#ifndef NO_RESERVATION_DEADLINE
inline ReservationLapse(i) {
	d_step {
		task[i] == RESERVED -> ClearTask(i)
	}
}
#endif

/* The runtime ends the task at its lease, also while the agent is down. */
inline LeaseLapse(i) {
	d_step {
		task[i] == RUNNING -> ClearTask(i)
	}
}

inline CrashAgent(i) {
	d_step {
		!dead[i] && agentCrashes < AGENT_CRASHES ->
		agentCrashes++;
		dead[i] = 1;
		if
		:: task[i] == RESERVED -> ClearTask(i)
		:: else
		fi
	}
}

/* A new boot stops the tasks that it finds before its first heartbeat. */
inline NewBoot(i) {
	d_step {
		dead[i] ->
		dead[i] = 0;
		boot[i] = 1 - boot[i];
		ClearTask(i)
	}
}

/* ---- gang leases ---- */

#ifdef VIEWS
inline Beat(e, i) {
	d_step {
		!dead[i] && VIEW(e, i) != (task[i] == RUNNING -> taskRound[i] + 1 : 0) ->
		VIEW(e, i) = (task[i] == RUNNING -> taskRound[i] + 1 : 0)
	}
}

inline BeatLapse(e, i) {
	d_step {
		VIEW(e, i) != 0 -> VIEW(e, i) = 0
	}
}

#ifdef LATE_BEAT
/* A heartbeat may be handled long after it was sent. */
inline SendBeat(i) {
	d_step {
		!dead[i] && task[i] == RUNNING && late[i] == 0 -> late[i] = taskRound[i] + 1
	}
}

inline TakeBeat(e, i) {
	d_step {
		late[i] != 0 -> VIEW(e, i) = late[i]; late[i] = 0
	}
}
#endif

/* MemberFresh after a member has gone, no report from before counts. */
inline Broken(r, m) {
	d_step {
		r < rounds && !broken[r] && started[X(r, m)] &&
			!(task[AT(r, m)] == RUNNING && taskRound[AT(r, m)] == r) &&
			VIEW(0, AT(r, m)) != r + 1 && VIEW(1, AT(r, m)) != r + 1 && VIEW(2, AT(r, m)) != r + 1 ->
		broken[r] = 1
	}
}

#ifdef NO_WHOLE_CHECK
#define WHOLE(e, r) (VIEW(e, AT(r, 0)) == (r) + 1 || VIEW(e, AT(r, 1)) == (r) + 1)
#else
#define WHOLE(e, r) (VIEW(e, AT(r, 0)) == (r) + 1 && VIEW(e, AT(r, 1)) == (r) + 1)
#endif
#define MATTERS(i) (covered[i] || broken[taskRound[i]])
#else
/* Without views every gang is taken for whole, which allows more. */
#define WHOLE(e, r) true
#define MATTERS(i) covered[i]
#endif

/* A lease may lapse at any time, so a grant matters only when it takes the
   lease out of what a wait covers. A grant made before the wait counts from a
   heartbeat sent before it and changes nothing, even if it arrives later. */
inline GrantLease(e, i) {
	d_step {
		!ended[e] && !dead[i] && task[i] == RUNNING && fenced[e] < attempt[taskRound[i]] &&
			WHOLE(e, taskRound[i]) && MATTERS(i) ->
#ifdef VIEWS
		CHECK(C, !broken[taskRound[i]]);
#endif
		covered[i] = 0
	}
}

/* ---- processes ---- */

proctype Placer(byte e) {
	do
	:: Reserve(e, 0)
	:: Reserve(e, 1)
	:: GiveUp(e)
	:: Record(e)
	:: Answered(e)
	:: AnswerLost(e)
	:: Read(e)
	:: EndAttempt(e)
	:: Fence(e, 0)
	:: Fence(e, 1)
	:: Fence(e, 2)
	:: Remove(e, 0)
	:: Remove(e, 1)
	:: Remove(e, 2)
	:: BeginWait(e)
	:: WaitOver(e)
	:: Requeue(e)
	:: Pause(e)
	:: Swap(e)
	:: WriteLost(e)
	od
}

proctype Granter(byte e) {
	do
	:: GrantLease(e, 0)
	:: GrantLease(e, 1)
	:: GrantLease(e, 2)
#if MEMBERS == 3
	:: GrantLease(e, 3)
#endif
#ifdef VIEWS
	:: Beat(e, 0)
	:: Beat(e, 1)
	:: Beat(e, 2)
	:: BeatLapse(e, 0)
	:: BeatLapse(e, 1)
	:: BeatLapse(e, 2)
#ifdef LATE_BEAT
	:: TakeBeat(e, 0)
	:: TakeBeat(e, 1)
	:: TakeBeat(e, 2)
#endif
#endif
	od
}

proctype Agent(byte i) {
	do
#ifndef NO_RESERVATION_DEADLINE
	:: ReservationLapse(i)
#endif
	:: LeaseLapse(i)
	:: CrashAgent(i)
	:: NewBoot(i)
#ifdef LATE_BEAT
	:: SendBeat(i)
#endif
	od
}

proctype Network(byte r; byte m) {
	do
	:: AcceptReserve(r, m)
	:: Commit(r, m)
	:: Stop(r, m)
#ifdef NO_RESERVE_ONCE
	:: RepeatReserve(r, m)
#endif
#ifdef VIEWS
	:: Broken(r, m)
#endif
	od
}

proctype Others() {
	do
	:: TakeOver()
#ifdef CANCEL
	:: Cancel()
#endif
	od
}

init {
	byte r, m;
	atomic {
		held[0] = 1;
		run Placer(0);
		run Placer(1);
		run Granter(0);
		run Granter(1);
		run Granter(2);
		for (m : 0 .. (AGENTS - 1)) {
			run Agent(m)
		}
		for (r : 0 .. (ROUNDS - 1)) {
			for (m : 0 .. (MEMBERS - 1)) {
				run Network(r, m)
			}
		}
		r = 0;
		m = 0;
		run Others()
	}
}
