/**
 * @file
 * Catalogue of the log events. docs/EVENTS.md explains each event, and a test compares the two.
 */
#ifndef BASE_EVENTS_H
#define BASE_EVENTS_H

#include <stdbool.h>

enum log_level { LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

#define LOG_EVENTS(X)                                                                              \
	X(100, DAEMON_STARTED, LOG_LEVEL_INFO)                                                     \
	X(101, DAEMON_STOPPING, LOG_LEVEL_INFO)                                                    \
	X(102, DAEMON_STOPPED, LOG_LEVEL_INFO)                                                     \
	X(103, LOG_REOPENED, LOG_LEVEL_INFO)                                                       \
	X(105, LOG_DROPPED, LOG_LEVEL_WARN)                                                        \
	X(104, STOP_CUT_REQUEST, LOG_LEVEL_WARN)                                                   \
	X(200, CHANGE_ACCEPTED, LOG_LEVEL_INFO)                                                    \
	X(201, CHANGE_REJECTED, LOG_LEVEL_WARN)                                                    \
	X(202, SNAPSHOT_LOADED, LOG_LEVEL_INFO)                                                    \
	X(203, SNAPSHOT_WRITTEN, LOG_LEVEL_INFO)                                                   \
	X(204, NODE_CURRENT, LOG_LEVEL_INFO)                                                       \
	X(205, VERSION_HEARD, LOG_LEVEL_INFO)                                                      \
	X(206, CHANGES_ARRIVED, LOG_LEVEL_INFO)                                                    \
	X(207, VERSION_USED, LOG_LEVEL_INFO)                                                       \
	X(208, PULL_STARTED, LOG_LEVEL_INFO)                                                       \
	X(209, PULL_UNANSWERED, LOG_LEVEL_WARN)                                                    \
	X(210, PULL_DELAYED, LOG_LEVEL_INFO)                                                       \
	X(211, EVACUATION_STARTED, LOG_LEVEL_WARN)                                                 \
	X(212, EVACUATION_ENDED, LOG_LEVEL_INFO)                                                   \
	X(300, MEMBER_CHANGED, LOG_LEVEL_INFO)                                                     \
	X(301, SUSPICION_REFUTED, LOG_LEVEL_WARN)                                                  \
	X(302, READER_STARTED, LOG_LEVEL_INFO)                                                     \
	X(303, READER_STOPPED, LOG_LEVEL_INFO)                                                     \
	X(400, MOVE_STEP_OPENED, LOG_LEVEL_INFO)                                                   \
	X(401, MOVE_DONE, LOG_LEVEL_INFO)                                                          \
	X(402, MOVE_WITHDRAWN, LOG_LEVEL_WARN)                                                     \
	X(403, MOVE_HELD, LOG_LEVEL_WARN)                                                          \
	X(406, MOVE_RECHECKED, LOG_LEVEL_WARN)                                                     \
	X(404, TARGET_EJECTED, LOG_LEVEL_WARN)                                                     \
	X(405, REQUEST_QUARANTINED, LOG_LEVEL_WARN)                                                \
	X(407, MARKS_LOST, LOG_LEVEL_WARN)                                                         \
	X(500, TARGET_ANNOUNCED, LOG_LEVEL_INFO)                                                   \
	X(501, TARGET_LAPSED, LOG_LEVEL_WARN)                                                      \
	X(502, TARGET_LEAVING, LOG_LEVEL_INFO)                                                     \
	X(503, ANNOUNCEMENT_BAD, LOG_LEVEL_WARN)                                                   \
	X(504, ANNOUNCEMENT_STALE, LOG_LEVEL_INFO)                                                 \
	X(505, TARGET_LOADED, LOG_LEVEL_INFO)                                                      \
	X(506, TARGET_DOUBTED, LOG_LEVEL_INFO)                                                     \
	X(507, TARGET_ANSWER_BROKEN, LOG_LEVEL_WARN)                                               \
	X(508, TARGET_COLD, LOG_LEVEL_INFO)                                                        \
	X(509, TARGET_WARM, LOG_LEVEL_INFO)                                                        \
	X(600, PLATFORM_LOG_OUT, LOG_LEVEL_WARN)                                                   \
	X(601, PLATFORM_LOG_BACK, LOG_LEVEL_INFO)                                                  \
	X(602, PLATFORM_RECORD_BAD, LOG_LEVEL_ERROR)                                               \
	X(603, PLATFORM_LOG_EXPIRED, LOG_LEVEL_INFO)                                               \
	X(604, PLATFORM_LOG_LIMITED, LOG_LEVEL_WARN)                                               \
	X(605, PLATFORM_LOG_RESTORED, LOG_LEVEL_WARN)                                              \
	X(700, FRAME_BAD, LOG_LEVEL_WARN)                                                          \
	X(701, LINK_SILENT, LOG_LEVEL_WARN)                                                        \
	X(702, PEER_REFUSED, LOG_LEVEL_WARN)                                                       \
	X(703, LINK_LATE, LOG_LEVEL_INFO)                                                          \
	X(800, CALL_CUT, LOG_LEVEL_WARN)                                                           \
	X(801, CALL_ENDED, LOG_LEVEL_INFO)                                                         \
	X(802, CALL_RETRIED, LOG_LEVEL_INFO)                                                       \
	X(803, OUTCOME_UNRECORDED, LOG_LEVEL_WARN)                                                 \
	X(804, CALLER_CLOSED, LOG_LEVEL_WARN)                                                      \
	X(805, CALLER_REFUSED, LOG_LEVEL_WARN)                                                     \
	X(806, CALLER_MEMORY, LOG_LEVEL_WARN)

enum log_event {
#define LOG_EVENT_ENUM(number, name, level) LOG_EVENT_##name = (number),
	LOG_EVENTS(LOG_EVENT_ENUM)
#undef LOG_EVENT_ENUM
};

#endif
