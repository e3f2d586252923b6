package ctl

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Without a CA, requests use plain HTTP. The first request sets the transport's
// TLS configuration; deciding by that configuration sent later requests to
// non-loopback addresses over TLS and was a data race between parallel requests.
func TestPlainHTTPWithoutCA(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	defer server.Close()
	hc, err := (&connection{}).httpClient()
	g.Expect(err).NotTo(HaveOccurred())
	addr := server.Listener.Addr().String()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			var into struct{}
			if err := getJSON(context.Background(), hc, addr, "/dump", &into); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	g.Expect(operatorURL(hc, "10.0.0.1:1")).To(Equal("http://10.0.0.1:1"))
	hc.useTLS = true
	g.Expect(operatorURL(hc, "10.0.0.1:1")).To(Equal("https://10.0.0.1:1"))
	g.Expect(operatorURL(hc, addr)).To(Equal("http://" + addr))
}
