package fleetlog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// FuzzApply applies arbitrary bytes to a state with a realistic history. Every
// writer can append anything to the log, so no record may crash a process, and
// a rejected record must not change the manifest or the members.
func FuzzApply(f *testing.F) {
	RegisterTestingT(f)
	for _, rec := range newLogWithSnapshot().records {
		f.Add(rec.Data)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		RegisterTestingT(t)
		tr := newLogWithSnapshot()
		generation, members := tr.state.Manifest.Generation, tr.state.Members.Version
		a := tr.state.Apply(platform.LogRecord{Offset: tr.state.Offset + 1, TimeMillis: 1, Data: data})
		if !a.Verdict.Accepted {
			g.Expect(tr.state.Manifest.Generation).To(Equal(generation))
			g.Expect(tr.state.Members.Version).To(Equal(members))
		}
		encoded, err := tr.state.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fleetlog.DecodeState(encoded)
		g.Expect(err).NotTo(HaveOccurred(), "a state must decode from its own snapshot")
	})
}
