package attempts

import (
	"github.com/cockroachdb/errors"

	"cyclamenwheel/platform"
)

// OfStore says what an error of a call on the store means.
func OfStore(err error) Verdict {
	var fenced *platform.FencedError
	var movedOn *platform.MovedOnError
	if errors.As(err, &fenced) || errors.As(err, &movedOn) {
		return Final
	}
	var turnedAway *platform.NotDoneError
	if !errors.As(err, &turnedAway) {
		return Unanswered
	}
	if turnedAway.Reason != "" {
		return Final // a number out of sequence
	}
	return TurnedAway
}
