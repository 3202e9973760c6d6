package logevent

import "github.com/sirupsen/logrus"

// Events about expert maps, numbered 401 to 429.
var (
	MapPhaseEntered    = define(401, "map_phase", logrus.InfoLevel, "The coordinator of a group entered a phase of a map change.")
	MapWaitingForRanks = define(402, "map_waiting", logrus.WarnLevel, "The coordinator of a group is waiting for ranks.")
	MapOrderRefused    = define(403, "map_order_refused", logrus.WarnLevel, "An order was refused because its number is outdated or because the agent has not read the group's fencing number yet.")
	MapOrderFailed     = define(404, "map_order_failed", logrus.WarnLevel, "An expert map order did not reach its engine, or the weights that it needs did not arrive.")
	MapPlanned         = define(405, "map_planned", logrus.InfoLevel, "The planner decided to change a group's expert map; the fields give the reason or the figures.")
)
