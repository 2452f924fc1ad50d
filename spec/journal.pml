/*
 * Journal of calls that must not be repeated: one idempotency key, and attempts to run its call through
 * any routers. Every attempt has a unique id, which its record contains.
 *
 * A write may stay in flight for any time, also after its writer abandoned it. The owner of the
 * shard may write an attempt's claim at any time after the claim was handed over to it: this covers a change
 * of owner, an owner that responds late, and a claimant that meanwhile writes the claim itself.
 *
 * Time is counted in steps. A clock may be off by one in either direction, differently at each reading. All
 * attempts state the same issue time, 0. An absent object has no revision: an update that expects "absent"
 * is committed whenever the object is absent, also after its removal.
 *
 * The platform is restored from an older copy at most once. Writes that were in flight are lost then, but a shard's owner
 * goes on with the claims that it was handed. Since all calls were issued before the restore, no key is claimed after it
 * whose record is absent.
 *
 * Switches that remove a safeguard:
 *   NO_CONDITIONAL_UPDATE  a claim is committed whatever the record's state is
 *   NO_CLAIMANT_ID         when an attempt reads the record back, any claim counts as its own
 *   ASSUME_COMMITTED       a claim whose response was lost is assumed to be committed
 *   RELEASE_AFTER_SEND     a claimant releases its key although the request was sent
 *   RELEASE_BY_OTHERS      another attempt releases a claim that looks abandoned
 *   REFUSE_AFTER_SEND      a connection lost after the request was sent is reported as "did not run"
 *   REPEAT_FINISHED        a finished record does not stop an attempt
 *   NO_AGE_CHECK           calls older than the retention are accepted
 *   NO_CLOCK_ALLOWANCE     the age limit is the retention itself
 *   CHECK_AGE_BEFORE_ONLY  the age is checked before the claim, but not again after it is committed
 *   NO_LOSS_CHECK          a key without a record is claimed although the platform may have lost its record
 */
#define ATTEMPTS 3
#define RETENTION 4
#define CLOCK_ERROR 1
#define MAX_TIME 6

#ifdef NO_CLOCK_ALLOWANCE
#define AGE_LIMIT RETENTION
#else
#define AGE_LIMIT (RETENTION - 2 * CLOCK_ERROR)
#endif

#define NOBODY 255

/* Phases of an attempt. */
#define NEW 0
#define CLAIMING 1
#define CLAIMED 2
#define SENT 3
#define ANSWERED 4
#define REFUSED 5                  /* Reported "did not run" to its caller. */
#define UNKNOWN 6                  /* Reported an unknown outcome to its caller. */
#define RAN 7                      /* Reported to its caller that the call ran before. */

/* State of the record. */
#define ABSENT 0
#define HELD 1
#define FINISHED 2

byte record;
byte claimant = NOBODY;

byte phase[ATTEMPTS];
bit claimInFlight[ATTEMPTS];       /* The write by the claimant itself. */
bit handedOver[ATTEMPTS];          /* The shard's owner may write the claim. */
bit requestInFlight[ATTEMPTS];     /* The service may still execute the request. */
bit executed[ATTEMPTS];
bit serviceRefused[ATTEMPTS];      /* The service reported that the request did not run. */
bit releaseInFlight[ATTEMPTS];
bit finishInFlight[ATTEMPTS];

byte executions;
byte now;

/* The copy from which the platform is restored. */
bit copied;
bit restored;
byte copyRecord;
byte copyClaimant = NOBODY;

byte reading;

/* Reads a clock that may be off by CLOCK_ERROR in either direction. */
inline readClock() { if :: reading = now :: reading = now + 1 :: now > 0 -> reading = now - 1 fi }

inline clearScratch() { reading = 0 }

#ifdef NO_AGE_CHECK
#define YOUNG true
#else
#define YOUNG (reading < AGE_LIMIT)
#endif

#ifdef CHECK_AGE_BEFORE_ONLY
#define STILL_YOUNG true
#else
#define STILL_YOUNG YOUNG
#endif

#ifdef NO_LOSS_CHECK
#define MAY_CLAIM (record == ABSENT)
#else
#define MAY_CLAIM (record == ABSENT && !restored)
#endif

#ifdef NO_CLAIMANT_ID
#define OWN (record == HELD)
#else
#define OWN (record == HELD && claimant == a)
#endif

inline tellDidNotRun(x) {
    /* A refusal says "did not run" only if the request did not run. */
    assert(!executed[x]);
    phase[x] = REFUSED
}

/* One attempt, with its writes and its request in flight. */
proctype Attempt(byte a) {
    end: do

    /* BeginCall: check the age, read the shard, claim the key. */
    :: atomic {
        phase[a] == NEW -> readClock();
        d_step {
            if
            :: !YOUNG -> tellDidNotRun(a)
#ifdef REPEAT_FINISHED
            :: YOUNG && record != HELD ->
#else
            :: YOUNG && record == FINISHED -> phase[a] = RAN
            :: YOUNG && record == ABSENT && !MAY_CLAIM -> phase[a] = UNKNOWN
            :: YOUNG && MAY_CLAIM ->
#endif
                phase[a] = CLAIMING;
                claimInFlight[a] = 1;
                handedOver[a] = 1
            :: YOUNG && record == HELD -> phase[a] = UNKNOWN
            fi;
            clearScratch()
        }
       }

    /* CommitClaim by the claimant: the response may be lost, so the claimant finds out the outcome by ReadBack. */
    :: atomic {
        claimInFlight[a] ->
        d_step {
            claimInFlight[a] = 0;
            if
#ifdef NO_CONDITIONAL_UPDATE
            :: true -> record = HELD; claimant = a
#else
#ifdef REPEAT_FINISHED
            :: record == FINISHED -> record = HELD; claimant = a
#endif
            :: MAY_CLAIM -> record = HELD; claimant = a
            :: else
#endif
            fi;
            clearScratch()
        }
       }

    /* CommitClaim by the shard's owner, which retries after a conflict. */
    :: d_step { handedOver[a] && MAY_CLAIM -> record = HELD; claimant = a; handedOver[a] = 0 }

    /* The handed-over claim never arrives at the owner. */
    :: d_step { handedOver[a] -> handedOver[a] = 0 }

    /* ReadBack: check whether the record contains this attempt's claim. */
    :: atomic {
        phase[a] == CLAIMING -> readClock();
        d_step {
            if
            :: OWN && STILL_YOUNG -> phase[a] = CLAIMED
            :: OWN && !STILL_YOUNG -> tellDidNotRun(a); releaseInFlight[a] = 1
            :: !OWN && record == FINISHED -> phase[a] = RAN
            :: !OWN && record == HELD -> phase[a] = UNKNOWN
            :: record == ABSENT && !MAY_CLAIM -> phase[a] = UNKNOWN
            :: MAY_CLAIM
            fi;
            clearScratch()
        }
       }

#ifdef ASSUME_COMMITTED
    :: d_step { phase[a] == CLAIMING -> phase[a] = CLAIMED }
#endif

    /* GiveUp: the request was not sent, so it did not run, whether or not the claim is committed. */
    :: d_step { phase[a] == CLAIMING -> tellDidNotRun(a); releaseInFlight[a] = 1 }

    /* ReleaseKey before the request was sent. */
    :: d_step { phase[a] == CLAIMED -> tellDidNotRun(a); releaseInFlight[a] = 1 }

    /* Dispatch: at most once for each attempt, however long the claimant was paused before. */
    :: d_step { phase[a] == CLAIMED -> phase[a] = SENT; requestInFlight[a] = 1 }

    /* Execute: the request reaches the service, however late. */
    :: atomic {
        requestInFlight[a] ->
        d_step {
            requestInFlight[a] = 0;
            executed[a] = 1;
            executions++;
            /* The call of a key runs at most once. */
            assert(executions <= 1);
            /* A request that was refused as "did not run" does not run later. */
            assert(phase[a] != REFUSED);
            clearScratch()
        }
       }

    /* RefuseByService: the service reports that the request did not run. */
    :: d_step { requestInFlight[a] -> requestInFlight[a] = 0; serviceRefused[a] = 1 }
    :: d_step { phase[a] == SENT && serviceRefused[a] -> tellDidNotRun(a); releaseInFlight[a] = 1 }

    /* FinishKey: the complete response arrived. */
    :: d_step { phase[a] == SENT && executed[a] -> phase[a] = ANSWERED; finishInFlight[a] = 1 }

    /* LoseResponse: the request was sent and no complete response arrived. */
    :: atomic {
        phase[a] == SENT ->
#ifdef REFUSE_AFTER_SEND
        d_step { tellDidNotRun(a); clearScratch() }
#else
#ifdef RELEASE_AFTER_SEND
        d_step { phase[a] = UNKNOWN; releaseInFlight[a] = 1; clearScratch() }
#else
        d_step { phase[a] = UNKNOWN; clearScratch() }
#endif
#endif
       }

    /* CommitRelease: removes only the claimant's own claim. */
    :: atomic {
        releaseInFlight[a] ->
        d_step {
            releaseInFlight[a] = 0;
            if
            :: record == HELD && claimant == a -> record = ABSENT; claimant = NOBODY
            :: else
            fi;
            clearScratch()
        }
       }

    /* CommitFinish. */
    :: atomic {
        finishInFlight[a] ->
        d_step {
            finishInFlight[a] = 0;
            if
            :: record == HELD && claimant == a -> record = FINISHED
            :: else
            fi;
            clearScratch()
        }
       }

    /* A write is lost. */
    :: d_step { releaseInFlight[a] -> releaseInFlight[a] = 0 }
    :: d_step { finishInFlight[a] -> finishInFlight[a] = 0 }
    od
}

/* Passing time, and routers that remove old records. */
proctype Surroundings() {
    end: do
    :: d_step { now < MAX_TIME -> now++ }

    /* TakeCopy. */
    :: d_step { !copied -> copied = 1; copyRecord = record; copyClaimant = claimant }

    /* Restore. */
    :: d_step {
        copied && !restored ->
        restored = 1;
        record = copyRecord;
        claimant = copyClaimant;
        copyRecord = ABSENT;
        copyClaimant = NOBODY;
        claimInFlight[0] = 0;
        claimInFlight[1] = 0;
        claimInFlight[2] = 0;
        releaseInFlight[0] = 0;
        releaseInFlight[1] = 0;
        releaseInFlight[2] = 0;
        finishInFlight[0] = 0;
        finishInFlight[1] = 0;
        finishInFlight[2] = 0
       }

#ifdef RELEASE_BY_OTHERS
    :: d_step { record == HELD -> record = ABSENT; claimant = NOBODY }
#endif

    /* RemoveBucket: any router removes records that are older than the retention. */
    :: atomic {
        record != ABSENT -> readClock();
        d_step {
            if
            :: reading >= RETENTION -> record = ABSENT; claimant = NOBODY
            :: else
            fi;
            clearScratch()
        }
       }
    od
}

init {
    atomic { run Attempt(0); run Attempt(1); run Attempt(2); run Surroundings() }
}
