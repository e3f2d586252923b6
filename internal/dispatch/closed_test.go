package dispatch_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
)

// An entry was frozen, taken off the members and wakes. A caller repeats a
// charge there that has run elsewhere meanwhile. The entry knows nothing of
// that, so it must not say that the charge did not run: the caller would send
// it again under a new key.
func TestEntryOffTheMembersDoesNotVouchForKeys(t *testing.T) {
	g := NewWithT(t)
	h := dispatch.NewHandler(dispatch.Options{
		Routes: func() *dispatch.RouteTable { return dispatch.NewClosedTable(1) },
	})
	ask := func(key string) string {
		r := httptest.NewRequest("POST", "/tabs/order", strings.NewReader("x"))
		if key != "" {
			r.Header.Set(dispatch.HeaderIdempotencyKey, key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Body.String()
	}
	g.Expect(ask("k")).To(ContainSubstring(`"ran":"unknown"`))
	g.Expect(ask("")).To(ContainSubstring(`"ran":"no"`))
}
