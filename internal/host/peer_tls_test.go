package host

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/platform"
)

// Guards against nodes that start together and trust different CAs: none of them could call another.
func TestNodesThatStartTogetherAgreeOnOneCA(t *testing.T) {
	g := NewWithT(t)
	server, err := wire.New(map[string]int{}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	server.SetFaults(wire.Faults{LostAnswers: 0.2})
	const nodes = 20
	configs := make([]*tls.Config, nodes)
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			client := platform.NewClient(server.Addr(), server.Addr(), "")
			configs[i], _ = peerTLSConfig(context.Background(), client, slog.New(slog.NewTextHandler(io.Discard, nil)), "d", fmt.Sprintf("n-%d", i))
		})
	}
	wg.Wait()
	for _, c := range configs {
		g.Expect(c).NotTo(BeNil())
		g.Expect(c.RootCAs.Equal(configs[0].RootCAs)).To(BeTrue())
	}
}
