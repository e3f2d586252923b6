package keys_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
)

// shortWork lets requests that are sent together overlap; longWork lets a
// fault come in the middle of one. Milliseconds.
const (
	shortWork = 30
	longWork  = 1500
)

var _ = Describe("One key sent to several entries together", func() {
	// A caller's library sends a charge to every entry at once. All ask the
	// key's owner; the first claim in the log runs, and the others wait for its
	// answer. Were each entry to decide alone, the guest would be charged once
	// for each.
	It("runs once, and every caller gets its answer", func() {
		c := formed(entryCount, nil)
		for n := range 20 {
			ch := charge{key: fmt.Sprintf("together-%d", n), body: "tab", work: shortWork}
			replies := together(c.Entries(), ch)
			runs := runsOf(c, ch.key)
			Expect(runs).To(HaveLen(1), ch.key)
			for _, r := range replies {
				expectAnswer(r, runs[0].Seq)
				Expect(r.answer).To(Equal(replies[0].answer))
			}
		}
		c.Check()
	})

	// A caller uses a key a second time for another charge, once while the
	// first one runs and once after it. Both are refused as a conflict that did
	// not run: the stored answer would be the answer to another request.
	It("refuses another request under the key", func() {
		c := formed(entryCount, nil)
		first := charge{key: "conflict", body: "tab 1", work: longWork}
		other := charge{key: "conflict", body: "tab 2"}
		answer := begin(c.Entry(0), first)
		awaitRun(c, first.key)
		conflict := func() {
			for _, r := range together(c.Entries(), other) {
				expectRefused(r, dispatch.TypeKeyConflict, dispatch.RanNo)
				Expect(r.status).To(Equal(http.StatusConflict))
			}
		}
		conflict()
		expectAnswer(got(answer), runsOf(c, first.key)[0].Seq)
		conflict()
		Expect(runsOf(c, first.key)).To(HaveLen(1))
		c.Check()
	})
})
