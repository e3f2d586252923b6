package standin_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
)

// httpClient returns a client with its own connections, which are closed at the
// end of the test.
func httpClient() *http.Client {
	transport := &http.Transport{}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 20 * time.Second}
}

var _ = Describe("Endpoints", func() {
	It("rejects requests beyond its slots as not run", func() {
		r := startStandin(nil)
		var wg sync.WaitGroup
		for _, id := range []string{"r1", "r2"} {
			wg.Go(func() {
				defer GinkgoRecover()
				resp, err := r.get(httpClient(), "w001", id, "60000")
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		Eventually(r.runs, "10s").Should(HaveLen(2))
		resp, err := r.get(httpClient(), "w001", "r3", "0")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(standin.HeaderNotRun)).To(Equal("true"))
		Expect(r.runs()).To(HaveLen(2))
		Expect(r.control.Violations(ctx)).To(HaveField("SlotViolations", map[string]int{"w001": 1}))
		Expect(r.control.SetState(ctx, "w001", platform.StateGone)).To(Succeed())
		wg.Wait()
		Expect(r.runs()).To(HaveEach(HaveField("Cut", true)))
	})

	It("reports its state in the health check, and refuses connections when gone", func() {
		r := startStandin(nil)
		url := "http://" + r.instance("w001").Addr + standin.PathHealth
		status := func() int {
			resp, err := httpClient().Get(url)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			return resp.StatusCode
		}
		Expect(status()).To(Equal(http.StatusOK))
		Expect(r.control.SetState(ctx, "w001", platform.StateLeaving)).To(Succeed())
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		Expect(r.control.SetState(ctx, "w001", platform.StateGone)).To(Succeed())
		_, err := httpClient().Get(url)
		Expect(err).To(MatchError(ContainSubstring("connection refused")))
	})

	// Each of these requests runs, but the caller gets no complete response of its
	// own.
	DescribeTable("faults after the run", func(f standin.EndpointFault, check func(*http.Response, error)) {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001", f)).To(Succeed())
		hc := httpClient()
		hc.Timeout = time.Second
		check(r.get(hc, "w001", "r1", "0"))
		Eventually(r.runs, "10s").Should(ConsistOf(HaveField("RequestID", "r1")))
	},
		Entry("cut", standin.EndpointFault{CutBody: true}, func(resp *http.Response, err error) {
			Expect(err).NotTo(HaveOccurred())
			_, err = decodeAnswer(resp)
			Expect(err).To(HaveOccurred())
		}),
		Entry("wrong id", standin.EndpointFault{WrongRequestID: true}, func(resp *http.Response, err error) {
			Expect(err).NotTo(HaveOccurred())
			_, _ = decodeAnswer(resp)
			Expect(resp.Header.Get(standin.HeaderRequestID)).To(Equal("wrong-r1"))
		}),
		Entry("closed", standin.EndpointFault{CloseAfterRun: true}, func(_ *http.Response, err error) {
			Expect(err).To(HaveOccurred())
		}),
		Entry("held back", standin.EndpointFault{HoldBack: true}, func(_ *http.Response, err error) {
			Expect(err).To(MatchError(ContainSubstring("Timeout")))
		}),
	)

	// The 503 response to the first request is sent again before the response to the
	// second request, which has run.
	It("repeats a response before the next one", func() {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001",
			standin.EndpointFault{NotRun: true, RepeatLate: true, Next: 1})).To(Succeed())
		conn, err := net.Dial("tcp", r.instance("w001").Addr)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		want := []string{"r1", "r1", "r2"}
		for i, sent := range []string{"r1", "r2", ""} {
			if sent != "" {
				_, err = io.WriteString(conn, "GET /tabs/1 HTTP/1.1\r\nHost: w\r\nX-Request-Id: "+sent+"\r\n\r\n")
				Expect(err).NotTo(HaveOccurred())
			}
			resp, err := http.ReadResponse(br, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header.Get(standin.HeaderRequestID)).To(Equal(want[i]))
		}
		Expect(r.runs()).To(ConsistOf(HaveField("RequestID", "r2")))
	})

	It("sends large and chunked responses, complete or truncated", func() {
		r := startStandin(nil)
		const size = 1 << 20
		for _, f := range []standin.EndpointFault{{AnswerBytes: size}, {AnswerBytes: size, Chunked: true}} {
			Expect(r.control.SetEndpointFault(ctx, "w001", f)).To(Succeed())
			resp, err := r.get(httpClient(), "w001", "r1", "0")
			Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(HaveLen(size))
			f.CutBody = true
			Expect(r.control.SetEndpointFault(ctx, "w001", f)).To(Succeed())
			resp, err = r.get(httpClient(), "w001", "r1", "0")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(resp.Body)
			Expect(err).To(HaveOccurred())
		}
	})

	It("is listed at the address of a proxy in front of it", func() {
		r := startStandin(nil)
		Expect(r.control.Change(ctx, "w001", standin.InstanceChange{Addr: "127.0.0.1:1"})).To(Succeed())
		Expect(r.instance("w001").Addr).To(Equal("127.0.0.1:1"))
		Expect(r.control.SetState(ctx, "w001", platform.StateLive)).To(Succeed())
		Expect(r.instance("w001").Addr).To(Equal("127.0.0.1:1"))
	})

	It("sends a response twice on a kept-alive connection", func() {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001", standin.EndpointFault{Duplicate: true, Next: 1})).To(Succeed())
		conn, err := net.Dial("tcp", r.instance("w001").Addr)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /tabs/1 HTTP/1.1\r\nHost: w\r\nX-Request-Id: r1\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		br := bufio.NewReader(conn)
		for range 2 {
			resp, err := http.ReadResponse(br, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(decodeAnswer(resp)).To(HaveField("RequestID", "r1"))
		}
		Expect(r.runs()).To(HaveLen(1))
	})

	DescribeTable("requests that hang or are refused never run", func(f standin.EndpointFault) {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001", f)).To(Succeed())
		hc := httpClient()
		hc.Timeout = 200 * time.Millisecond
		_, err := r.get(hc, "w001", "r1", "0")
		Expect(err).To(HaveOccurred())
		Expect(r.runs()).To(BeEmpty())
	}, Entry("hang", standin.EndpointFault{Hang: true}), Entry("refuse", standin.EndpointFault{Refuse: true}))

	It("closes connections over its limit", func() {
		r := startStandin(nil)
		addr := r.instance("w001").Addr
		for range 5 {
			conn, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
		}
		Eventually(func() (standin.Violations, error) { return r.control.Violations(ctx) }, "10s").
			Should(HaveField("ConnectionViolations", map[string]int{"w001": 1}))
	})

	It("swaps the responses of two concurrent requests", func() {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001", standin.EndpointFault{Cross: true})).To(Succeed())
		ids := []string{"r1", "r2"}
		got := make([]string, len(ids))
		// A response without a partner within the timeout is not crossed.
		Eventually(func() []string {
			var wg sync.WaitGroup
			for i, id := range ids {
				wg.Go(func() {
					defer GinkgoRecover()
					resp, err := r.get(httpClient(), "w001", id, "0")
					Expect(err).NotTo(HaveOccurred())
					a, err := decodeAnswer(resp)
					Expect(err).NotTo(HaveOccurred())
					got[i] = a.RequestID
				})
			}
			wg.Wait()
			return got
		}, "10s").Should(Equal([]string{"r2", "r1"}))
	})

	It("limits a fault to the next requests", func() {
		r := startStandin(nil)
		Expect(r.control.SetEndpointFault(ctx, "w001", standin.EndpointFault{FailStatus: 500, Next: 1})).To(Succeed())
		for _, want := range []int{500, 200} {
			resp, err := r.get(httpClient(), "w001", "r", "0")
			Expect(err).NotTo(HaveOccurred())
			_, err = decodeAnswer(resp)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(want))
		}
	})
})

var _ = Describe("Fleet description", func() {
	DescribeTable("parses the example fleets", func(name string, zones int) {
		spec, err := standin.ReadFleet(filepath.Join("..", "..", "examples", name, "fleet.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(spec.Zones).To(HaveLen(zones))
		Expect(spec.Entries).To(HaveLen(7))
		racks := 0
		for _, z := range spec.Zones {
			racks += z.Racks
		}
		Expect(racks * spec.InstancesPerRack).To(Equal(52))
	}, Entry(nil, "portlouis", 4), Entry(nil, "kelaniya", 3))

	It("rejects an unknown field and names it", func() {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", "portlouis", "fleet.json"))
		Expect(err).NotTo(HaveOccurred())
		_, err = standin.ParseFleet(append([]byte(`{"colour":1,`), data[1:]...))
		Expect(err).To(MatchError(ContainSubstring("colour")))
	})
})
