package fleetlog_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// failingLog fails the first append with err and accepts the others.
type failingLog struct {
	platform.Log
	err     error
	appends int
}

func (l *failingLog) Append(context.Context, []byte) (uint64, error) {
	l.appends++
	if l.appends == 1 {
		return 0, l.err
	}
	return 1, nil
}

func appendTo(g Gomega, log platform.Log) error {
	rec, err := fleetlog.NewRecord(fleetlog.KindPublish, "operator", 0, struct{}{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fleetlog.AppendWithRetry(context.Background(), log, rec)
	return err
}

// Guards against a published manifest that is given up because the log was unavailable for a moment:
// that error wraps the rejection with which the log answered.
func TestAnAppendIsRetriedWhileTheLogIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	log := &failingLog{err: &platform.UnavailableError{Op: "append", Cause: &platform.RejectedError{Status: 503}}}
	g.Expect(appendTo(g, log)).To(Succeed())
	g.Expect(log.appends).To(Equal(2))
}

// Guards against repeating a record that the log will never take.
func TestARejectedAppendIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	log := &failingLog{err: &platform.RejectedError{Status: 400}}
	g.Expect(appendTo(g, log)).NotTo(Succeed())
	g.Expect(log.appends).To(Equal(1))
}
