/*
 * Runs of one task on the users' platform: the record in the store, the leader
 * and its successor, and two agents with their workers. README.md gives the
 * abstractions and the bounds.
 *
 * Every step of do is one atomic action over global state. An order or a start
 * in flight is a value in the state: it may be taken at any later time or never.
 */

#ifndef RUNS
#define RUNS 2                  /* runs of the task */
#endif
#ifndef LOSSES
#define LOSSES 1                /* starts without an answer, for each agent */
#endif
#define NONE 0

/* The record of the task. Workers are 1 and 2. */
byte s_run, s_worker, s_epoch = 1;
bool s_done;

/* The leader of epoch 1 and that of epoch 2: what it has decided and what it
   knows to be recorded. The first may go on after it was deposed. */
bool leads[2];
byte m_run[2], m_worker[2], r_run[2], r_worker[2];
bool m_done[2], r_done[2];

/* Agents. */
byte a_epoch[2], fence[2], unanswered[2], refused[2];
byte a_running[2], a_ended[2];  /* as the latest lists say */
bool a_done[2];                 /* the end was done */
bool a_partial[2];              /* the latest lists may lack an end */
byte order_epoch[2], order_run[2];
byte declined[2];               /* start that was refused; the reply is under way */

/* Workers. */
byte w_fence[2], w_running[2], w_ended[2], w_latest[2], late_run[2], late_fence[2];
bool w_done[2], leased[2];

#ifdef STALE_REPORT
byte old_ended, old_refused;    /* a report of the first agent that is held up */
bool old_done, old_lapsed, held_up;
#endif

#ifdef PARTIAL_LISTS
/* An end as done that the worker lists sooner or later, since its lease has not lapsed. */
bool will_list[2];
#define NOTE_END(a, done) will_list[a] = will_list[a] || done
#define NOTE_LAPSE(a) will_list[a] = false
#define NONE_DONE (!will_list[0] && !will_list[1])
#else
#define NOTE_END(a, done) skip
#define NOTE_LAPSE(a) skip
#define NONE_DONE true
#endif

/* execute carries a start out at worker a. */
inline execute(a, number, f) {
	if
	:: f < w_fence[a] || number <= w_latest[a] || !leased[a] -> skip
	:: else ->
		w_fence[a] = f;
		if
		:: w_running[a] == number -> skip
		:: else ->
			assert(w_running[0] == NONE && w_running[1] == NONE);
			assert(!s_done && NONE_DONE);
			w_running[a] = number
		fi
	fi
}

inline end(a, done) {
	NOTE_END(a, done);
	w_ended[a] = w_running[a];
	w_latest[a] = w_running[a];
	w_done[a] = done;
	w_running[a] = NONE
}

/* unheard notes a start without an answer. */
inline unheard(a, number) {
	unanswered[a] = number;
	fence[a] = fence[a] + 1
}

/* take applies a report to the decisions of leader l. */
inline take(l, a, ended, done, denied, lapsed) {
	if
	:: m_worker[l] == a + 1 && (lapsed || (m_run[l] == ended && ended != NONE) || (m_run[l] == denied && denied != NONE)) ->
		m_worker[l] = NONE;
		m_done[l] = m_done[l] || (m_run[l] == ended && done)
	:: else -> skip
	fi
}

#ifdef NO_RECORD
#define ORDERED(l, a) (m_worker[l] == a + 1)
#else
#define ORDERED(l, a) (m_worker[l] == a + 1 && r_worker[l] == a + 1 && m_run[l] == r_run[l])
#endif

#ifdef REPEAT_REFUSED
#define IS_REFUSED(a) false
#else
#define IS_REFUSED(a) (refused[a] == order_run[a])
#endif

/* What keeps a refusal from being recorded: the run is listed, or an earlier
   start of it without an answer was or may still be carried out. */
#define LISTED(a) (a_running[a] == declined[a] || a_ended[a] == declined[a])
#define UNANSWERED(a) (unanswered[a] == declined[a])
/* A worker lists its ends in parts, so the latest lists may lack that of the run. */
#ifdef REFUSE_UNLISTED
#define UNLISTED(a) false
#else
#define UNLISTED(a) a_partial[a]
#endif
#if defined(REFUSE_LISTED)
#define MAY_RUN(a) UNANSWERED(a)
#elif defined(REFUSE_UNANSWERED)
#define MAY_RUN(a) LISTED(a)
#else
#define MAY_RUN(a) (LISTED(a) || UNANSWERED(a) || UNLISTED(a))
#endif

/* The reply to a refused start may come after a hold, or at once: then the search
   has less than half of the states, for variants about something else. */
#ifdef INSTANT_REFUSAL
#define REFUSE(a) unanswered[a] != order_run[a] && refused[a] == NONE && !UNLISTED(a) -> refused[a] = order_run[a]
#else
#define REFUSE(a) true -> declined[a] = order_run[a]
#endif

#ifdef NO_GUARD
#define GUARD(l) true
#else
#define GUARD(l) (s_epoch == l + 1)
#endif

#ifdef NO_WAIT
#define LAPSED(a) true
#else
#define LAPSED(a) (!leased[a])
#endif

#ifdef NO_ORDER_AGE
#define DROP_ORDER(a) skip
#else
#define DROP_ORDER(a) order_run[a] = NONE; order_epoch[a] = NONE
#endif

#ifdef NO_FENCE
#define RAISE(a) skip
#else
#define RAISE(a) w_fence[a] = fence[a]
#endif

/* A leader records what it has decided. */
#define LEADER(l) \
	:: atomic { leads[l] && (m_run[l] != r_run[l] || m_worker[l] != r_worker[l] || m_done[l] != r_done[l]) -> \
		if \
		:: GUARD(l) -> \
			s_run = m_run[l]; s_worker = m_worker[l]; s_done = s_done || m_done[l]; \
			r_run[l] = m_run[l]; r_worker[l] = m_worker[l]; r_done[l] = m_done[l] \
		:: else -> leads[l] = false; m_run[l] = 0; m_worker[l] = 0; m_done[l] = false; r_run[l] = 0; r_worker[l] = 0; r_done[l] = false \
		fi }

/* A leader decides and orders. A worker that was not heard of is lost after the
   longest lease, and an order is valid for less than that. A report goes to a
   leader that the agent does not know to be deposed; a lease is granted by the
   present leader alone. */
#define PAIR(l, a) \
	:: atomic { leads[l] && !m_done[l] && m_worker[l] == NONE && m_run[l] < RUNS -> \
		m_run[l] = m_run[l] + 1; m_worker[l] = a + 1 } \
	:: atomic { leads[l] && ORDERED(l, a) -> order_epoch[a] = l + 1; order_run[a] = m_run[l] } \
	:: atomic { leads[l] && m_worker[l] == a + 1 && LAPSED(a) -> m_worker[l] = NONE; DROP_ORDER(a) } \
	:: atomic { leads[l] && l + 1 >= a_epoch[a] -> \
		a_epoch[a] = l + 1; \
		take(l, a, a_ended[a], a_done[a], refused[a], false); \
		if \
		:: refused[a] != NONE && order_run[a] == NONE && !(m_worker[l] == a + 1 && m_run[l] == refused[a]) -> refused[a] = NONE \
		:: else -> skip \
		fi; \
		if \
		:: s_epoch == l + 1 -> leased[a] = true \
		:: else -> skip \
		fi }

/* A hold may list the ends only in part. */
#ifdef PARTIAL_LISTS
#define PARTIAL(a) (w_ended[a] != a_ended[a])
#else
#define PARTIAL(a) false
#endif

/* An agent takes an order, which may be repeated. The start has an answer, or
   has none and is carried out now, later or never. The answer that it is refused
   may come after a hold. A hold shows what runs and
   what has ended, and settles starts without an answer: lower fences have no
   effect any more. A start that comes after its deadline has none either. */
#define AGENT(a) \
	:: atomic { order_run[a] != NONE && declined[a] == NONE -> \
		if \
		:: order_epoch[a] < a_epoch[a] || a_running[a] == order_run[a] || a_ended[a] == order_run[a] || IS_REFUSED(a) || !leased[a] -> skip \
		:: else -> \
			a_epoch[a] = order_epoch[a]; \
			if \
			:: fence[a] >= w_fence[a] && order_run[a] > w_latest[a] -> \
				execute(a, order_run[a], fence[a]); unanswered[a] = NONE; a_running[a] = order_run[a] \
			:: fence[a] <= LOSSES -> execute(a, order_run[a], fence[a]); unheard(a, order_run[a]) \
			:: fence[a] <= LOSSES && late_run[a] == NONE -> \
				late_run[a] = order_run[a]; late_fence[a] = fence[a]; unheard(a, order_run[a]) \
			:: fence[a] <= LOSSES -> unheard(a, order_run[a]) \
			:: REFUSE(a) \
			fi \
		fi; \
		if \
		:: true -> order_run[a] = NONE; order_epoch[a] = NONE \
		:: true -> skip \
		fi } \
	:: atomic { declined[a] != NONE -> \
		if \
		:: MAY_RUN(a) || refused[a] != NONE -> skip \
		:: else -> refused[a] = declined[a] \
		fi; \
		declined[a] = NONE } \
	:: atomic { late_run[a] != NONE -> execute(a, late_run[a], late_fence[a]); late_run[a] = NONE; late_fence[a] = 0 } \
	:: atomic { fence[a] >= w_fence[a] -> \
		RAISE(a); a_running[a] = w_running[a]; \
		if \
		:: PARTIAL(a) -> a_partial[a] = true \
		:: a_ended[a] = w_ended[a]; a_done[a] = w_done[a]; a_partial[a] = false \
		fi; \
		if \
		:: UNLISTED(a) -> skip \
		:: else -> \
			if \
			:: unanswered[a] != NONE && unanswered[a] != a_running[a] && unanswered[a] != a_ended[a] && refused[a] == NONE -> \
				refused[a] = unanswered[a] \
			:: else -> skip \
			fi; \
			unanswered[a] = NONE \
		fi } \
	:: atomic { w_running[a] != NONE -> end(a, true) } \
	:: atomic { w_running[a] != NONE -> end(a, false) } \
	:: atomic { leased[a] -> leased[a] = false; NOTE_LAPSE(a); late_run[a] = NONE; late_fence[a] = 0; \
		if \
		:: w_running[a] != NONE -> end(a, false) \
		:: else -> skip \
		fi }

active proctype system() {
	atomic { leads[0] = true; fence[0] = 1; fence[1] = 1 }
	do
	LEADER(0) LEADER(1)
	PAIR(0, 0) PAIR(0, 1) PAIR(1, 0) PAIR(1, 1)
	AGENT(0) AGENT(1)
	:: atomic { s_epoch == 1 -> s_epoch = 2; leads[1] = true;
		m_run[1] = s_run; m_worker[1] = s_worker; m_done[1] = s_done;
		r_run[1] = s_run; r_worker[1] = s_worker; r_done[1] = s_done }
#ifdef STALE_REPORT
	:: atomic { !held_up -> held_up = true; old_ended = a_ended[0]; old_done = a_done[0]; old_refused = refused[0]; old_lapsed = !leased[0] }
	:: atomic { held_up && leads[0] -> take(0, 0, old_ended, old_done, old_refused, old_lapsed);
		held_up = false; old_ended = 0; old_done = false; old_refused = 0; old_lapsed = false }
#endif
#ifdef WITNESS
	:: atomic { s_done && s_epoch == 2 && s_run > 1 -> assert(false) }
#endif
	od
}
