package logevent

import "github.com/sirupsen/logrus"

// Events about traffic under load.
var (
	HomeEntryUnreachable = define(310, "home_unreachable", logrus.WarnLevel, "The home entry of an organisation did not answer; this entry uses its local part of the organisation's limits.")
)
