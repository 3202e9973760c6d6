package logevent

import "github.com/sirupsen/logrus"

// Events about the configuration and operators' orders.
var (
	PeerFetchFailed = define(210, "peer_fetch_failed", logrus.DebugLevel, "The configuration could not be fetched from a peer.")
	OfferIncomplete = define(211, "offer_incomplete", logrus.InfoLevel, "An offered configuration is based on a file version that this process does not have; the process fetches the configuration instead.")
	OfferSent       = define(212, "offer_sent", logrus.InfoLevel, "An accepted configuration was offered to the other processes.")

	OrderAccepted       = define(501, "order_accepted", logrus.InfoLevel, "An operator's change was accepted.")
	OrderRefused        = define(502, "order_refused", logrus.WarnLevel, "An operator's request was refused.")
	OrderOutcomeUnknown = define(503, "order_unknown", logrus.ErrorLevel, "The outcome of an operator's change is not known yet.")
)
