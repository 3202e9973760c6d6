// Package logevent defines the numbered events that the processes log. They are
// listed in docs/LOG_EVENTS.md.
package logevent

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line, identified by a number.
type Event struct {
	ID      int
	Name    string
	Level   logrus.Level
	Meaning string
	Fields  string // Fields whose names don't explain them, for the documentation; Meaning is written on each line.
}

// Event numbers: 1xx process lifecycle, 2xx configuration, 3xx traffic, 4xx
// expert maps, 5xx operators' orders.
var (
	ProcessReady   = define(101, "process_ready", logrus.InfoLevel, "The process is ready for work.")
	ProcessLeaving = define(102, "process_leaving", logrus.InfoLevel, "A graceful shutdown has begun.")
	ProcessStopped = define(103, "process_stopped", logrus.InfoLevel, "The process has stopped.")
	ProcessFailed  = define(104, "process_failed", logrus.ErrorLevel, "The process stops because of an error.")

	ConfigInstalled   = define(201, "config_installed", logrus.InfoLevel, "A configuration revision came into force in this process.")
	ConfigFetchFailed = define(202, "config_fetch_failed", logrus.WarnLevel, "The configuration could not be read from the store.")
	InstanceListStale = define(203, "instance_list_stale", logrus.WarnLevel, "The instance list could not be read.")

	RequestFailed    = define(301, "request_failed", logrus.InfoLevel, "A request was answered with a result code other than ok.")
	PanicRecovered   = define(302, "panic_recovered", logrus.ErrorLevel, "A request handler panicked; the process recovered.")
	AnswerIDMismatch = define(303, "answer_foreign_id", logrus.ErrorLevel, "A piece of another request's answer was rejected.")
)

var events []Event

func define(id int, name string, level logrus.Level, meaning string, fields ...string) Event {
	event := Event{ID: id, Name: name, Level: level, Meaning: meaning, Fields: strings.Join(fields, " ")}
	events = append(events, event)
	return event
}

// Events returns every defined event in order of definition.
func Events() []Event { return append([]Event(nil), events...) }

// Write logs the event with its fields.
func Write(logger *logrus.Entry, event Event, fields logrus.Fields) {
	logger.WithFields(logrus.Fields{"event": event.ID, "name": event.Name}).WithFields(fields).Log(event.Level, event.Meaning)
}
