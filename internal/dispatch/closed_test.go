package dispatch_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
)

// An entry was suspended, removed from the membership and resumed. A caller
// repeats a charge there that has meanwhile run elsewhere. The entry must not
// report that the charge did not run: the caller would send it again with a new
// key.
func TestRemovedEntryReportsUnknownForKeys(t *testing.T) {
	g := NewWithT(t)
	h := dispatch.NewHandler(dispatch.Options{
		Routes: func() *dispatch.RouteTable { return dispatch.NewClosedTable(1) },
	})
	send := func(key string) string {
		r := httptest.NewRequest("POST", "/tabs/order", strings.NewReader("x"))
		if key != "" {
			r.Header.Set(dispatch.HeaderIdempotencyKey, key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Body.String()
	}
	g.Expect(send("k")).To(ContainSubstring(`"ran":"unknown"`))
	g.Expect(send("")).To(ContainSubstring(`"ran":"no"`))
}
