package attempts

import (
	"github.com/cockroachdb/errors"

	"cyclamenwheel/platform"
)

// ClassifyStoreError classifies the error of a call to the store.
func ClassifyStoreError(err error) Verdict {
	var fenced *platform.FencedError
	var conditionFailed *platform.MovedOnError
	if errors.As(err, &fenced) || errors.As(err, &conditionFailed) {
		return Final
	}
	var notDone *platform.NotDoneError
	if !errors.As(err, &notDone) {
		return Unanswered
	}
	if notDone.Reason != "" {
		return Final // sequence number out of order
	}
	return Refused
}
