package fleetlog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// FuzzApply feeds the fold with arbitrary bytes after a real history. Whoever
// can append to the log can write anything: no record may stop a process, and
// a record that is refused must not change what is in force.
func FuzzApply(f *testing.F) {
	RegisterTestingT(f)
	for _, rec := range written().records {
		f.Add(rec.Data)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		RegisterTestingT(t)
		tr := written()
		generation, members := tr.state.Manifest.Generation, tr.state.Members.Version
		a := tr.state.Apply(platform.LogRecord{Offset: tr.state.Offset + 1, TimeMillis: 1, Data: data})
		if !a.Verdict.Accepted {
			g.Expect(tr.state.Manifest.Generation).To(Equal(generation))
			g.Expect(tr.state.Members.Version).To(Equal(members))
		}
		encoded, err := tr.state.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fleetlog.DecodeState(encoded)
		g.Expect(err).NotTo(HaveOccurred(), "a state must survive its own snapshot")
	})
}
