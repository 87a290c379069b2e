/*
 * Configuration in force: two established entries and one that joins, the
 * documents config and members in the store, and an agent. README.md gives the
 * abstractions and the bounds.
 *
 * Authority rests on evidence with a deadline: a read of the store, or a
 * confirmation by another entry. Evidence may lapse at any time, so partitions,
 * outages and pauses are steps that do not happen. After the change has been
 * accepted, evidence from before is old, and Tick needs the end of all of it.
 */

#define ENTRIES 3
#define ALL(x) (x(0) && x(1) && x(2))
#ifndef LISTS
#define LISTS 4                 /* revisions of the list of entries */
#endif
#ifndef CHANGES
#define CHANGES 1               /* accepted changes of the configuration */
#endif

#define OUT 0
#define JOINING 1
#define ESTABLISHED 2

#define P(e, p) ((e) * ENTRIES + (p))

/* Store. */
byte config;
byte members;
byte list[LISTS * ENTRIES];
#define STATE(v, e) list[(v) * ENTRIES + (e)]

/* Entries. */
byte cfg[ENTRIES];
byte mem[ENTRIES];              /* known revision of the list */
bit contact[ENTRIES];           /* store contact */
bit oldContact[ENTRIES];
bit peer[ENTRIES];              /* confirmed by an entry with authority to hand on */
bit oldPeer[ENTRIES];
bit silent[ENTRIES * ENTRIES];  /* P(e, p): p confirmed the same documents and no store contact */
bit oldSilent[ENTRIES * ENTRIES];
bit ack[ENTRIES * ENTRIES];     /* P(j, e): e acknowledged the join of j */
bit joiner[ENTRIES * ENTRIES];  /* P(e, j): e needs the confirmation of j */
bit expired[ENTRIES];           /* OutageGrace is over since the last contact */

/* Reads in flight. */
bit reading[ENTRIES];
byte readCfg[ENTRIES];
byte readMem[ENTRIES];
bit oldRead[ENTRIES];

/* Agent. */
byte agentCfg;
bit fresh;
bit oldFresh;
bit replying;                   /* reply to a heartbeat in flight */
byte replyCfg;
bit replyFresh;
bit oldReply;

/* The change: the entry that makes it plus one, and what it has reached. */
byte changer;
byte changed;                   /* revision that it makes */
byte ticks;                     /* since its acceptance plus one */

byte k;
byte was;                       /* zero between actions */

#define IS_ESTABLISHED(e) (STATE(mem[e], e) == ESTABLISHED)

#define REQUIRED(e, p) ((p) != (e) && (STATE(mem[e], p) == ESTABLISHED || joiner[P(e, p)]))
#ifdef NO_SILENCE_UNANIMITY
#define AGREES(e, p) true
#else
#define AGREES(e, p) (!REQUIRED(e, p) || silent[P(e, p)])
#endif
#define BY_SILENCE(e) (IS_ESTABLISHED(e) && !contact[e] && !expired[e] && AGREES(e, 0) && AGREES(e, 1) && AGREES(e, 2))
#define AUTHORITY(e) (contact[e] || peer[e] || BY_SILENCE(e))

/* Whether the authority rests on evidence that is not old. What is granted on
   old evidence ends with it. */
#define NEW_AGREES(e, p) (!REQUIRED(e, p) || !oldSilent[P(e, p)])
#define NEW_SILENCE(e) (BY_SILENCE(e) && NEW_AGREES(e, 0) && NEW_AGREES(e, 1) && NEW_AGREES(e, 2))
#define NEW_AUTHORITY(e) ((contact[e] && !oldContact[e]) || (peer[e] && !oldPeer[e]) || NEW_SILENCE(e))

/* With the change known everywhere, property (f) cannot fail any more. */
#ifdef LATE
#define GOING true
#else
#define GOING !(config == CHANGES && cfg[0] == config && cfg[1] == config && cfg[2] == config)
#endif

inline DropConfirms(e) {
	for (k : 0 .. (ENTRIES - 1)) {
		silent[P(e, k)] = 0; oldSilent[P(e, k)] = 0
	}
	k = 0;
	peer[e] = 0; oldPeer[e] = 0
}

/* Confirmations of older documents count for nothing. */
inline Adopt(e, c, m) {
	if
	:: c > cfg[e] || m > mem[e] -> DropConfirms(e)
	:: else
	fi;
	if
	:: c > cfg[e] -> cfg[e] = c
	:: else
	fi;
	if
	:: m > mem[e] ->
		mem[e] = m;
		for (k : 0 .. (ENTRIES - 1)) {
			if
			:: STATE(m, k) == OUT -> joiner[P(e, k)] = 0
			:: else
			fi;
			if
			:: STATE(m, e) == OUT -> ack[P(e, k)] = 0
			:: else
			fi
		}
		k = 0
	:: else
	fi
}

/* Silence that was confirmed while there is contact is not kept: the entry can
   just as well have lost its contact before. */
inline SetContact(e, old) {
	DropConfirms(e);
	contact[e] = 1; oldContact[e] = old; expired[e] = 0
}

#ifdef NO_REVISION_CHECK
#define NEWER(x, y) true
#else
#define NEWER(x, y) ((x) >= (y))
#endif

/* ---- store contact ---- */

#ifdef LATE
inline SendRead(e) {
	d_step {
		!reading[e] -> reading[e] = 1; readCfg[e] = config; readMem[e] = members; oldRead[e] = 0
	}
}

inline LoseRead(e) {
	d_step {
		reading[e] -> reading[e] = 0; readCfg[e] = 0; readMem[e] = 0; oldRead[e] = 0
	}
}

inline Read(e) {
	d_step {
		reading[e] ->
		was = cfg[e];
		if
		:: NEWER(readCfg[e], cfg[e]) && NEWER(readMem[e], mem[e]) ->
			Adopt(e, readCfg[e], readMem[e]);
			cfg[e] = readCfg[e];
			if
			:: !contact[e] || oldContact[e] -> SetContact(e, oldRead[e])
			:: else
			fi
		:: else
		fi;
		/* (g) */
		assert(cfg[e] >= was);
		was = 0;
		reading[e] = 0; readCfg[e] = 0; readMem[e] = 0; oldRead[e] = 0
	}
}
#elif defined(CONFIG_FIRST)
/* Reads config and then members; both count from the sending of the first. */
inline SendRead(e) {
	d_step {
		GOING && !reading[e] -> reading[e] = 1; readCfg[e] = config; oldRead[e] = 0
	}
}

inline LoseRead(e) {
	d_step {
		GOING && reading[e] -> reading[e] = 0; readCfg[e] = 0; oldRead[e] = 0
	}
}

inline Read(e) {
	d_step {
		GOING && reading[e] && readCfg[e] >= cfg[e] ->
		Adopt(e, readCfg[e], members);
		SetContact(e, oldRead[e]);
		reading[e] = 0; readCfg[e] = 0; oldRead[e] = 0
	}
}
#elif defined(ATOMIC_READ)
inline Read(e) {
	d_step {
		GOING && (!contact[e] || oldContact[e] || cfg[e] < config || mem[e] < members) ->
		Adopt(e, config, members);
		SetContact(e, 0)
	}
}
#else
/* Reads members and then config; both count from the sending of the first. */
inline SendRead(e) {
	d_step {
		GOING && !reading[e] -> reading[e] = 1; readMem[e] = members; oldRead[e] = 0
	}
}

inline LoseRead(e) {
	d_step {
		GOING && reading[e] -> reading[e] = 0; readMem[e] = 0; oldRead[e] = 0
	}
}

inline Read(e) {
	d_step {
		GOING && reading[e] && readMem[e] >= mem[e] ->
		Adopt(e, config, readMem[e]);
		SetContact(e, oldRead[e]);
		reading[e] = 0; readMem[e] = 0; oldRead[e] = 0
	}
}
#endif

inline ContactLapse(e) {
	d_step {
		GOING && contact[e] -> contact[e] = 0; oldContact[e] = 0
	}
}

/* ---- confirmations ---- */

/* Evidence is kept only when both have the same documents afterwards: then it
   counts until one of them changes. */
inline Confirm(e, p) {
	d_step {
		GOING && e != p && STATE(mem[e], p) != OUT ->
		Adopt(e, cfg[p], mem[p]);
		silent[P(e, p)] = 0; oldSilent[P(e, p)] = 0;
		if
		:: cfg[p] != cfg[e] || mem[p] != mem[e] -> skip
		:: else ->
			if
			:: contact[p] ->
				oldPeer[e] = oldContact[p] && (!peer[e] || oldPeer[e]); peer[e] = 1
			/* A joining entry relies on any entry with authority. */
			:: !contact[p] && !IS_ESTABLISHED(e) && AUTHORITY(p) ->
				oldPeer[e] = !NEW_AUTHORITY(p) && (!peer[e] || oldPeer[e]); peer[e] = 1
			:: !contact[p] && IS_ESTABLISHED(e) && !contact[e] -> silent[P(e, p)] = 1
			:: else
			fi
		fi
	}
}

inline PeerLapse(e) {
	d_step {
		GOING && peer[e] -> peer[e] = 0; oldPeer[e] = 0
	}
}

inline SilentLapse(e, p) {
	d_step {
		GOING && silent[P(e, p)] -> silent[P(e, p)] = 0; oldSilent[P(e, p)] = 0
	}
}

/* ---- list of entries ---- */

/* Writes by compare-and-swap: the writer knows the newest list. */
#define MAY_WRITE_LIST(e) (GOING && contact[e] && mem[e] == members && members + 1 < LISTS)

inline CopyList() {
	for (k : 0 .. (ENTRIES - 1)) {
		STATE(members + 1, k) = STATE(members, k)
	}
	k = 0;
	members++
}

inline JoinList(e) {
	d_step {
		MAY_WRITE_LIST(e) && STATE(members, e) == OUT ->
		CopyList();
		STATE(members, e) = JOINING;
		Adopt(e, cfg[e], members)
	}
}

inline Join(x, y) {
	d_step {
		x != y && STATE(mem[x], x) == JOINING && STATE(mem[x], y) == ESTABLISHED && !ack[P(x, y)] &&
			STATE(mem[y], x) != OUT ->
		ack[P(x, y)] = 1; joiner[P(y, x)] = 1
	}
}

#ifdef NO_JOIN_ACK
#define ACKED(j, e) true
#else
#define ACKED(j, e) ((j) == (e) || STATE(mem[j], e) != ESTABLISHED || ack[P(j, e)])
#endif

inline Establish(x) {
	d_step {
		MAY_WRITE_LIST(x) && STATE(members, x) == JOINING && ACKED(x, 0) && ACKED(x, 1) && ACKED(x, 2) ->
		CopyList();
		STATE(members, x) = ESTABLISHED;
		Adopt(x, cfg[x], members)
	}
}

/* The remover has heard nothing for ConfirmFresh and a margin, so that its
   last confirmation of the other has ended, and has seen no renewed contact. */
#ifdef NO_REMOVAL_WAIT
#define GONE(e, x) true
#else
#define GONE(e, x) (!contact[x] && !reading[x] && !silent[P(x, e)])
#endif

/* A joining entry waits for OutageGrace and a margin. The authority by silence
   of the others has expired by then, until they have store contact again. */
/* The remover has read config after the other's contact has ended. */
#ifdef REMOVE_ON_OLD_CONFIG
#define KNOWS_CONFIG(e) true
#else
#define KNOWS_CONFIG(e) (cfg[e] == config)
#endif

inline Remove(e, x) {
	d_step {
		e != x && MAY_WRITE_LIST(e) && STATE(members, e) != OUT && STATE(members, x) != OUT &&
			GONE(e, x) && KNOWS_CONFIG(e) ->
#ifndef NO_GRACE
		expired[x] = expired[x] || !IS_ESTABLISHED(e);
#endif
		CopyList();
		STATE(members, x) = OUT;
		Adopt(e, cfg[e], members)
	}
}

/* A graceful shutdown. */
inline Leave(e) {
	d_step {
		MAY_WRITE_LIST(e) && IS_ESTABLISHED(e) ->
		CopyList();
		STATE(members, e) = OUT;
		Adopt(e, cfg[e], members);
		contact[e] = 0; oldContact[e] = 0
	}
}

/* ---- change of the configuration ---- */

/* The compare-and-swap takes effect. Its answer may be lost. */
inline ChangeConfig(e) {
	d_step {
		changer == 0 && config < CHANGES && contact[e] && IS_ESTABLISHED(e) && cfg[e] == config ->
		config++;
		changer = e + 1;
		changed = config
	}
}

#ifdef LATE
/* Nobody is told that the change was accepted. */
inline AnswerLost() {
	d_step {
		changer != 0 && ticks == 0 -> changer = 0; changed = 0
	}
}
#endif

/* The author is answered, or reads its write back, and has store contact. */
inline Accept(e) {
	d_step {
		changer == e + 1 && ticks == 0 && contact[e] && IS_ESTABLISHED(e) ->
		Adopt(e, changed, mem[e]);
		for (k : 0 .. (ENTRIES - 1)) {
			oldContact[k] = contact[k]; oldPeer[k] = peer[k]; oldRead[k] = reading[k]
		}
		for (k : 0 .. (ENTRIES * ENTRIES - 1)) {
			oldSilent[k] = silent[k]
		}
		k = 0;
		ticks = 1
	}
}

#define NO_OLD(e) (!oldContact[e] && !oldPeer[e] && !oldRead[e] && !oldSilent[P(e, 0)] && !oldSilent[P(e, 1)] && !oldSilent[P(e, 2)])

/* First tick: max(StoreFresh, ConfirmFresh). Second: FreshFor. */
inline Tick() {
	d_step {
		(ticks == 1 && ALL(NO_OLD)) || (ticks == 2 && !oldFresh && !oldReply) ->
		if
		:: ticks == 1 -> oldFresh = fresh; oldReply = replying
		:: else
		fi;
		ticks++
	}
}

/* ---- agent ---- */

#ifdef NO_FRESHNESS
#define GRANTS(e) true
#else
#define GRANTS(e) AUTHORITY(e)
#endif

#ifdef LATE
/* The reply counts from the sending of the heartbeat. */
inline Beat(e) {
	d_step {
		!replying && (GRANTS(e) || cfg[e] > agentCfg) ->
		replying = 1; replyCfg = cfg[e]; replyFresh = GRANTS(e); oldReply = 0
	}
}

inline LoseReply() {
	d_step {
		replying -> replying = 0; replyCfg = 0; replyFresh = 0; oldReply = 0
	}
}

inline Obey() {
	d_step {
		replying ->
		was = agentCfg;
		if
		:: NEWER(replyCfg, agentCfg) -> agentCfg = replyCfg
		:: else
		fi;
		/* (g) */
		assert(agentCfg >= was);
		was = 0;
		if
		:: replyFresh && (!fresh || oldFresh) -> fresh = 1; oldFresh = oldReply
		:: else
		fi;
		replying = 0; replyCfg = 0; replyFresh = 0; oldReply = 0
	}
}
#else
/* Freshness from before the first tick has ended with the second one. */
inline Beat(e) {
	d_step {
		GOING && ticks == 2 && GRANTS(e) ->
		fresh = 1; agentCfg = (agentCfg > cfg[e] -> agentCfg : cfg[e])
	}
}
#endif

inline FreshLapse() {
	d_step {
		fresh -> fresh = 0; oldFresh = 0
	}
}

/* Work starts only while the freshness lasts. */
inline Start() {
	d_step {
		fresh && ticks == 3 ->
		/* (f) */
		assert(agentCfg >= changed);
#ifdef WITNESS
		assert(false)
#endif
	}
}

/* ---- processes ---- */

proctype Entry(byte e) {
	do
#ifndef ATOMIC_READ
	:: SendRead(e)
	:: LoseRead(e)
#endif
	:: Read(e)
	:: ContactLapse(e)
	:: Confirm(e, 0)
	:: Confirm(e, 1)
	:: Confirm(e, 2)
	:: PeerLapse(e)
	:: SilentLapse(e, 0)
	:: SilentLapse(e, 1)
	:: SilentLapse(e, 2)
	:: JoinList(e)
	:: Join(e, 0)
	:: Join(e, 1)
	:: Join(e, 2)
	:: Establish(e)
	:: Remove(e, 0)
	:: Remove(e, 1)
	:: Remove(e, 2)
#ifndef NO_LEAVE
	:: Leave(e)
#endif
	:: ChangeConfig(e)
	:: Accept(e)
	:: Beat(e)
	od
}

proctype Agent() {
	do
#ifdef LATE
	:: LoseReply()
	:: Obey()
	:: AnswerLost()
#endif
	:: FreshLapse()
	:: Start()
	:: Tick()
	od
}

init {
	atomic {
		STATE(0, 0) = ESTABLISHED;
		STATE(0, 1) = ESTABLISHED;
		run Entry(0);
		run Entry(1);
		run Entry(2);
		run Agent()
	}
}
