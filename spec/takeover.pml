/*
 * Takeover of the fleet: when a new controller orders an upstream to join a group.
 *
 * One upstream, which is a spare at first: the only member of a standby group. The earlier controller orders it to join a
 * serving group and to leave it, any number of times up to a bound, and ends at any moment. The head of the serving group
 * stands still once the upstream has left; it gives the group up after a time. The new controller knows the upstream's
 * registration, which may be of any earlier moment, and reports, which lag but state group and order count of one moment.
 * Orders of the earlier controller that arrive after its end are not modelled.
 *
 * What is asserted: the upstream accepts a join of the new controller only while no head serves, or waits, with it.
 *
 * Switches that remove a safeguard:
 *   NO_PRECONDITION   orders do not state an order count
 *   NO_REPORT_CHECK   after a conflict the order is repeated, whatever group the report shows
 *   NO_LEFT_CHECK     a report that shows no group is no reason to withhold a join to a spare
 *   NO_TERM_WAIT      the new controller does not wait before it uses an upstream without a group
 */
#define NONE 0
#define STANDBY 1
#define SERVING 2
#define MAX_COUNT 4

#ifdef NO_PRECONDITION
#define IS_CONFLICT false
#else
#define IS_CONFLICT (expected != count)
#endif
#ifdef NO_TERM_WAIT
#define HAS_WAITED true
#else
#define HAS_WAITED (shown != NONE || hasWaited)
#endif
#ifdef NO_REPORT_CHECK
#define REPORT_FITS true
#else
#define REPORT_FITS (!hasReport || reported != SERVING)
#endif
#ifdef NO_LEFT_CHECK
#define NOT_LEFT true
#else
#define NOT_LEFT (!hasReport || reported != NONE || shown == NONE)
#endif

byte member = STANDBY;             /* The upstream's group. */
byte count;                        /* Orders that it has accepted. */
bool isHeadWaiting;                /* A head counts on it: it serves with it, or stands still without it. */
bool standsStill;
bool stoodStillBefore;             /* The head stood still already when the new controller took over. */

byte shown = STANDBY;              /* Group in the registration. */
byte lagGroup = STANDBY;           /* State that the next report shows. */
byte lagCount;
byte reported = STANDBY;           /* The new controller's last report. */
byte expected;                     /* Order count that the next order states. */
bool hasReport;
bool isTakenOver;
bool hasWaited;

active proctype fleet() {
    do
    :: atomic { !isTakenOver && member != SERVING && !isHeadWaiting && count < MAX_COUNT ->   /* EarlierJoin */
        member = SERVING; isHeadWaiting = true; count++ }
    :: atomic { !isTakenOver && member == SERVING && count < MAX_COUNT ->                     /* EarlierRelease */
        member = NONE; standsStill = true; count++ }
    :: atomic { standsStill ->                                                                /* GiveUpGroup */
        standsStill = false; isHeadWaiting = false; stoodStillBefore = false }
    :: atomic { shown != member -> shown = member }                                           /* Register */
    :: atomic { lagCount != count -> lagGroup = member; lagCount = count }                    /* UpdateReport */
    :: atomic { !isTakenOver -> isTakenOver = true; stoodStillBefore = standsStill }          /* TakeOver */
    :: atomic { isTakenOver && !hasWaited && !stoodStillBefore -> hasWaited = true }          /* WaitStallTime */
    :: atomic { isTakenOver ->                                                                /* FetchReport */
        reported = lagGroup; expected = lagCount; hasReport = true }
    :: atomic { isTakenOver && shown != SERVING && HAS_WAITED && REPORT_FITS && NOT_LEFT ->    /* OrderJoin */
        if
        :: IS_CONFLICT -> skip                                                                /* Conflict */
        :: else -> assert(!isHeadWaiting); break
        fi }
    od
}
