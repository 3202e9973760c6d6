package logevent

import "github.com/sirupsen/logrus"

// Events about non-idempotent work, numbered 330 to 349.
var (
	RunOutcomeUnknown        = define(330, "run_outcome_unknown", logrus.WarnLevel, "A non-idempotent operation was started and its backend server gave no answer; it is not run again.")
	AnswerNotStored          = define(331, "answer_not_stored", logrus.WarnLevel, "The answer of a non-idempotent operation is not stored yet; it waits for the table service.")
	AttemptCancelled         = define(332, "attempt_moved_on", logrus.InfoLevel, "The attempt of an agent that does not answer was cancelled in the idempotency key's row before another attempt was sent.")
	KeyRefusedOutcomeUnknown = define(333, "key_refused_weaker", logrus.InfoLevel, "A request with an idempotency key was refused without a guarantee that its work was not run.")
	KeyRowsRemoved           = define(334, "key_rows_removed", logrus.InfoLevel, "Rows of idempotency keys past their retention were removed.")
	KeyRowsSweepFailed       = define(335, "key_rows_sweep_failed", logrus.WarnLevel, "Rows of idempotency keys could not be read or removed.")
)
