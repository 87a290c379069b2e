/*
 * Core protocol of docs/design.md, section 6: reserve, recorded start, commit,
 * gang lease, fence, epoch change, and freshness of the configuration. One
 * process takes one step of the system at a time; README.md states the bounds.
 *
 * Messages are bits. A message that was sent can be delivered at any later
 * step, any number of times, or never: this covers loss, duplication, delay and
 * reordering. An entry that is paused takes no step meanwhile; an entry whose
 * placement lease has lapsed is not told so. Timers count down with Tick.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef RF
#define RF 1 /* ReserveFor, ticks */
#endif
#define GL 2 /* GangLease */
#define MF 1 /* MemberFresh */
#define SF 1 /* StoreFresh */

#define BIT(t, e) (1 << ((t) * 3 + (e)))
#define HAS(set, t, e) ((set) & BIT(t, e))
#define TB(t) (1 << (t))

/* Record of the job. */
#define QUEUED 0
#define STARTING 1
#define STOPPING 2
byte recState, recAttempt, recEpoch;
byte epoch;       /* highest taken */
byte recorded;    /* attempts whose start took effect */
byte notRun;      /* attempts proved never started */
bool out;         /* the operators have taken the failure domain out */
byte outAge;

typedef Agent {
  byte seenEpoch, seenAttempt;
  byte resAttempt, resEpoch, resLeft; /* reservation */
  byte refused;                       /* attempts with a stop mark */
  byte running, lease;                /* attempt, ticks */
  byte startedHere;                   /* attempts started in this boot */
  byte grant;                         /* lease in flight, ticks */
  byte grantOf;
  byte oldBoot;                       /* attempts reserved at an earlier boot */
  short reserveMsg, commitMsg, stopMsg;
  short reserveAck;
  byte neverAck, stopAck;
}
Agent A[2];

typedef Entry {
  byte epoch, attempt, phase; /* phase: 0 idle, 1 reserving, 2 recorded, 3 stopping, 4 unresolved */
  byte waited;                /* ticks left of the wait after a fence */
  bool fenceDone;
  byte fenced;                /* attempts that get no more lease from here */
  byte rep[2], repLeft[2];    /* reports */
  byte contact;               /* ticks of store contact left */
  bool seesOut;
}
Entry E[2];

#ifndef CRASHES
#define CRASHES 1
#endif
byte crashes, boots;
byte started;               /* attempts of which a member has started */
byte left[3];    /* ticks in which the others of an attempt must stop */
byte goneT;                 /* attempts with a member gone */

#define GONE(t) if :: !(goneT & TB(t)) -> goneT = goneT | TB(t); left[t] = GL + MF :: else fi

inline Begin(i) {
  E[i].phase == 0 && E[i].epoch > 0 && recState == QUEUED && recAttempt < ATTEMPTS ->
  E[i].attempt = recAttempt + 1; E[i].phase = 1;
  A[0].reserveMsg = A[0].reserveMsg | BIT(E[i].attempt, E[i].epoch);
  A[1].reserveMsg = A[1].reserveMsg | BIT(E[i].attempt, E[i].epoch)
}

#define RESERVED0(i) HAS(A[0].reserveAck, E[i].attempt, E[i].epoch)
#ifdef NO_RESERVE_ALL
#define RESERVED1(i) true
#else
#define RESERVED1(i) HAS(A[1].reserveAck, E[i].attempt, E[i].epoch)
#endif
#ifndef OUT
#define MAYRECORD(i) true
#else
#ifdef NO_CONTACT
#define MAYRECORD(i) !E[i].seesOut
#else
#define MAYRECORD(i) (!E[i].seesOut && E[i].contact > 0)
#endif
#endif

/* RecordStart: the compare-and-swap takes effect and the answer arrives, or
 * the answer is lost (phase 4) and no commit follows. */
inline RecordStart(i, next) {
  E[i].phase == 1 && RESERVED0(i) && RESERVED1(i) && MAYRECORD(i) ->
  if
  :: recState == QUEUED && recAttempt + 1 == E[i].attempt ->
     recState = STARTING; recAttempt = E[i].attempt; recEpoch = E[i].epoch;
     recorded = recorded | TB(recAttempt);
     E[i].phase = next
  :: else -> E[i].phase = 0
  fi
}

#ifdef NO_RECORD
#define MAYCOMMIT(i) (E[i].phase == 1 && RESERVED0(i) && RESERVED1(i))
#else
#define MAYCOMMIT(i) (E[i].phase == 2)
#endif
inline SendCommit(i) {
  MAYCOMMIT(i) && !HAS(A[0].commitMsg, E[i].attempt, E[i].epoch) ->
  A[0].commitMsg = A[0].commitMsg | BIT(E[i].attempt, E[i].epoch);
  A[1].commitMsg = A[1].commitMsg | BIT(E[i].attempt, E[i].epoch)
}

/* StopAttempt: for any reason, by the placing entry or one that took over. */
inline StopAttempt(i) {
  E[i].epoch > 0 && E[i].phase != 3 && E[i].epoch >= recEpoch && recState != QUEUED ->
  E[i].attempt = recAttempt; E[i].phase = 3; E[i].fenceDone = false; E[i].waited = 0;
  E[i].fenced = E[i].fenced | TB(recAttempt);
  recState = STOPPING; recEpoch = E[i].epoch;
  A[0].stopMsg = A[0].stopMsg | BIT(recAttempt, E[i].epoch);
  A[1].stopMsg = A[1].stopMsg | BIT(recAttempt, E[i].epoch)
}

inline Abandon(i) { E[i].phase == 1 || E[i].phase == 4 -> E[i].phase = 0 }

inline Fence(i, j) {
  E[i].phase == 3 && !(E[j].fenced & TB(E[i].attempt)) ->
  E[j].fenced = E[j].fenced | TB(E[i].attempt)
}

#ifdef NO_LEASE_WAIT
#define WAIT 0
#else
#ifdef NO_RESERVE_WAIT
#define WAIT GL
#else
#define WAIT (RF + GL)
#endif
#endif
inline FenceComplete(i) {
  E[i].phase == 3 && !E[i].fenceDone &&
    (E[0].fenced & TB(E[i].attempt)) && (E[1].fenced & TB(E[i].attempt)) ->
  E[i].fenceDone = true; E[i].waited = WAIT
}

#ifdef NO_BOOT_CHECK
#define NEVER(a, t) (A[a].neverAck & TB(t))
#else
#define NEVER(a, t) ((A[a].neverAck & TB(t)) && !(A[a].oldBoot & TB(t)))
#endif
#define OVER(i, t) ((E[i].fenceDone && E[i].waited == 0) || ((A[0].stopAck & TB(t)) && (A[1].stopAck & TB(t))))

#ifdef NONIDEMPOTENT
#define RESTARTABLE(t) (NEVER(0, t) && NEVER(1, t))
#else
#define RESTARTABLE(t) true
#endif
/* Requeue: the next attempt may be reserved. */
/* The next attempt may run elsewhere: no member of this one runs any more. */
#ifdef CHECK_SINGLE
#define CHECKREQUEUE assert(A[0].running == 0 && A[1].running == 0)
#else
#define CHECKREQUEUE skip
#endif
inline Requeue(i) {
  E[i].phase == 3 && recState == STOPPING && recAttempt == E[i].attempt && recEpoch == E[i].epoch &&
    RESTARTABLE(recAttempt) && OVER(i, recAttempt) ->
  if
  :: NEVER(0, recAttempt) && NEVER(1, recAttempt) -> notRun = notRun | TB(recAttempt)
  :: else
  fi;
  CHECKREQUEUE;
  recState = QUEUED; E[i].phase = 0
}

inline TakeOver(i) {
  epoch < EPOCHS -> epoch++; E[i].epoch = epoch; E[i].phase = 0; E[i].fenceDone = false
}

/* A new boot of an entry renews no attempt that it may not know as fenced. */
inline Crash(i) {
  E[i].epoch > 0 && crashes < CRASHES -> crashes++; E[i].epoch = 0; E[i].phase = 0; E[i].fenceDone = false;
  E[i].rep[0] = 0; E[i].rep[1] = 0; E[i].repLeft[0] = 0; E[i].repLeft[1] = 0;
  E[i].contact = 0; E[i].fenced = TB(1) | TB(2)
}

inline Read(i) {
  E[i].contact < SF || E[i].seesOut != out -> E[i].contact = SF; E[i].seesOut = out
}

inline TakeOut() { !out -> out = true; outAge = 0 }

#ifdef NO_EPOCH
#define ADMIT(a, t, e) (t >= A[a].seenAttempt && !(A[a].refused & TB(t)))
#else
#define ADMIT(a, t, e) (e >= A[a].seenEpoch && t >= A[a].seenAttempt && !(A[a].refused & TB(t)))
#endif

/* A duplicate does not extend a reservation. */
#ifdef EXTEND_DUPLICATE
#define FIRST(a, t, e) true
#else
#define FIRST(a, t, e) (t > A[a].seenAttempt || e > A[a].resEpoch)
#endif
inline Reserve(a, t, e) {
  HAS(A[a].reserveMsg, t, e) && ADMIT(a, t, e) && A[a].running == 0 && !(A[a].oldBoot & TB(t)) &&
    FIRST(a, t, e) ->
  A[a].seenEpoch = e; A[a].seenAttempt = t;
  A[a].resAttempt = t; A[a].resEpoch = e; A[a].resLeft = RF;
  A[a].reserveAck = A[a].reserveAck | BIT(t, e)
}

#ifdef NO_LAPSE
#define HELD(a) true
#else
#define HELD(a) (A[a].resLeft > 0)
#endif
/* What holds when a member starts. */
#ifdef CHECK_GANG
#define CHECKSTART(a, t, e) assert(recorded & TB(t)); \
  assert(HAS(A[0].reserveAck, t, e) && HAS(A[1].reserveAck, t, e));
#endif
#ifdef CHECK_SINGLE
#define CHECKSTART(a, t, e) assert(recAttempt == t && recState != QUEUED);
#endif
#ifdef CHECK_ONCE
#define CHECKSTART(a, t, e) assert((started & ~TB(t)) == 0);
#endif
#ifdef CHECK_NOT_RUN
#define CHECKSTART(a, t, e) assert(!(notRun & TB(t)));
#endif
#ifdef CHECK_OUT
#define CHECKSTART(a, t, e) assert(!out || outAge <= SF + RF);
#endif
#ifndef CHECKSTART
#define CHECKSTART(a, t, e) skip;
#endif
inline Commit(a, t, e) {
  HAS(A[a].commitMsg, t, e) && ADMIT(a, t, e) && A[a].resAttempt == t && A[a].resEpoch == e && HELD(a) &&
    A[a].running == 0 && !(A[a].startedHere & TB(t)) ->
  CHECKSTART(a, t, e)
  A[a].running = t; A[a].lease = GL;
  A[a].startedHere = A[a].startedHere | TB(t); started = started | TB(t)
}

#ifdef NO_STOP_MARK
#define MARK(a, t) skip
#else
#define MARK(a, t) A[a].refused = A[a].refused | TB(t)
#endif
inline Stop(a, t, e) {
  HAS(A[a].stopMsg, t, e) && e >= A[a].seenEpoch && !(A[a].stopAck & TB(t)) ->
  A[a].seenEpoch = e;
  MARK(a, t);
  A[a].stopAck = A[a].stopAck | TB(t);
  if
  :: !(A[a].startedHere & TB(t)) -> A[a].neverAck = A[a].neverAck | TB(t)
  :: else
  fi;
  if
  :: A[a].running == t -> A[a].running = 0; A[a].lease = 0; GONE(t)
  :: else
  fi
}

/* Fail: the task ends, or its runtime fails. */
inline Fail(a) { A[a].running > 0 -> GONE(A[a].running); A[a].running = 0; A[a].lease = 0 }

/* NewBoot: the agent restarts and has forgotten everything. Attempts for which
 * it was asked before name the earlier boot. */
inline NewBoot(a) {
  A[a].seenAttempt > 0 ->
  if
  :: A[a].running > 0 -> GONE(A[a].running)
  :: else
  fi;
  if
  :: HAS(A[a].reserveMsg, 1, 1) || HAS(A[a].reserveMsg, 1, 2) -> A[a].oldBoot = A[a].oldBoot | TB(1)
  :: else
  fi;
  if
  :: HAS(A[a].reserveMsg, 2, 1) || HAS(A[a].reserveMsg, 2, 2) -> A[a].oldBoot = A[a].oldBoot | TB(2)
  :: else
  fi;
  A[a].running = 0; A[a].lease = 0; A[a].resLeft = 0; A[a].resAttempt = 0; A[a].resEpoch = 0;
  A[a].seenAttempt = 0; A[a].seenEpoch = 0; A[a].refused = 0; A[a].startedHere = 0; A[a].grant = 0; A[a].stopAck = 0
}

/* Beat: an entry hears an agent and may extend its gang lease. */
#ifdef NO_MEMBERS
#define ALLRUN(i, t) true
#else
#define ALLRUN(i, t) (E[i].rep[0] == t && E[i].repLeft[0] > 0 && E[i].rep[1] == t && E[i].repLeft[1] > 0)
#endif
#ifdef NO_FENCE
#define FENCED(i, t) false
#else
#define FENCED(i, t) (E[i].fenced & TB(t))
#endif
inline Beat(a, i) {
  A[a].running > 0 ->
  E[i].rep[a] = A[a].running; E[i].repLeft[a] = MF;
  if
  :: ALLRUN(i, A[a].running) && !FENCED(i, A[a].running) -> A[a].grant = GL; A[a].grantOf = A[a].running
  :: else
  fi
}

inline Renew(a) {
  A[a].grant > A[a].lease && A[a].running > 0 && A[a].running == A[a].grantOf -> A[a].lease = A[a].grant
}

#define DOWN(x) if :: x > 0 -> x-- :: else fi

inline AgentTick(a) {
  DOWN(A[a].resLeft); DOWN(A[a].grant);
  if
  :: A[a].running > 0 ->
     A[a].lease--;
     if
     :: A[a].lease == 0 -> GONE(A[a].running); A[a].running = 0
     :: else
     fi
  :: else
  fi
}

inline EntryTick(i) {
  DOWN(E[i].waited); DOWN(E[i].repLeft[0]); DOWN(E[i].repLeft[1]); DOWN(E[i].contact)
}

/* When one member is gone, the others stop within GangLease + MemberFresh. */
#ifdef CHECK_LEASE
#define CHECKTICK(a) assert(A[a].running == 0 || !(goneT & TB(A[a].running)) || left[A[a].running] > 0)
#else
#define CHECKTICK(a) skip
#endif
inline Tick() {
  DOWN(left[1]); DOWN(left[2]);
  AgentTick(0); AgentTick(1); EntryTick(0); EntryTick(1);
  if :: out && outAge < 7 -> outAge++ :: else fi;
  CHECKTICK(0); CHECKTICK(1)
}

#define FOR_AGENT(f, a) \
  :: d_step { f(a, 1, 1) } :: d_step { f(a, 1, 2) } :: d_step { f(a, 2, 1) } :: d_step { f(a, 2, 2) }

#define ENTRY(i) \
  :: d_step { Begin(i) } :: d_step { RecordStart(i, 2) } :: d_step { RecordStart(i, 4) } \
  :: d_step { SendCommit(i) } \
  :: d_step { StopAttempt(i) } :: d_step { Abandon(i) } \
  :: d_step { Fence(i, 1 - i) } :: d_step { FenceComplete(i) } \
  :: d_step { Requeue(i) } :: d_step { TakeOver(i) } :: d_step { Crash(i) }

#ifdef LEASES
#define BEATS(a) :: d_step { Beat(a, 0) } :: d_step { Beat(a, 1) } :: d_step { Renew(a) }
#else
#define BEATS(a)
#endif
#define AGENT(a) \
  FOR_AGENT(Reserve, a) FOR_AGENT(Commit, a) FOR_AGENT(Stop, a) \
  :: d_step { Fail(a) } BEATS(a)

active proctype System() {
  d_step { epoch = 1; E[0].epoch = 1 }
  do
  ENTRY(0)
  ENTRY(1)
  AGENT(0)
  AGENT(1)
#ifdef BOOTS
  :: d_step { boots < 1 && A[0].seenAttempt > 0 -> boots++; NewBoot(0) }
#endif
#ifdef OUT
  :: d_step { Read(0) } :: d_step { Read(1) } :: d_step { TakeOut() }
#endif
  :: d_step { Tick() }
  od
}
