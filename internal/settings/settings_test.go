package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validEntrySettings = `
[process]
id = entry-1
zone = zone-a
instance = e-001
deployment = portlouis
[platform]
url = http://127.0.0.1:8000
[peer]
listen = 127.0.0.1:0
peers = entry-2@127.0.0.1:7002, control-1@127.0.0.1:7003
ca = ca.pem
cert = /etc/cyclamen/cert.pem
key = key.pem
[callers]
listen = [::1]:0
`

func writeSettings(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "entry.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func faultsOf(text string) []settings.Fault {
	_, err := settings.LoadEntry(writeSettings(text))
	var faults *settings.FaultsError
	Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
	return faults.Faults
}

var _ = Describe("settings", func() {
	It("loads typed values and defaults", func() {
		path := writeSettings(validEntrySettings)
		s, err := settings.LoadEntry(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Timing.Heartbeat).To(Equal(500 * time.Millisecond))
		Expect(s.Timing.LeaseTTL).To(Equal(3 * time.Second))
		Expect(s.Callers.MaxBody).To(BeEquivalentTo(1 << 20))
		Expect(s.Peer.Seeds).To(HaveLen(2))
		Expect(s.Peer.Seeds[1].ID).To(Equal("control-1"))
		Expect(s.Peer.CA).To(Equal(filepath.Join(filepath.Dir(path), "ca.pem")))
		Expect(s.Peer.Cert).To(Equal("/etc/cyclamen/cert.pem"))
	})

	It("lists three faults at once, each with its location", func() {
		text := strings.Replace(validEntrySettings, "zone = zone-a\n", "", 1) +
			"[timing]\nheartbeat = 200\n[limits]\nmemry = 1GiB\n"
		var reasons []settings.Reason
		for _, f := range faultsOf(text) {
			reasons = append(reasons, f.Reason)
			if f.Reason == settings.ReasonUnit {
				Expect(f.Line).To(Equal(17))
				Expect(f.Location()).To(Equal("line 17 [timing] heartbeat"))
			}
		}
		Expect(reasons).To(ConsistOf(settings.ReasonMissing, settings.ReasonUnit, settings.ReasonUnknownKey))
	})

	DescribeTable("rejects", func(extra string, reason settings.Reason) {
		faults := faultsOf(validEntrySettings + extra)
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].Reason).To(Equal(reason))
	},
		Entry("an unknown section", "[tming]\nheartbeat = 1s\n", settings.ReasonUnknownSection),
		Entry("a duplicate key", "[limits]\nmemory = 1GiB\nmemory = 1GiB\n", settings.ReasonDuplicateKey),
		Entry("a size without unit", "[limits]\nmemory = 1000000000\n", settings.ReasonUnit),
		Entry("a size out of range", "[limits]\nmemory = 1MiB\n", settings.ReasonRange),
		Entry("a size that overflows", "[limits]\nmemory = 9223372036854775807GiB\n", settings.ReasonType),
		Entry("text instead of a number", "[limits]\nqueue_per_service = many\n", settings.ReasonType),
		Entry("a host name", "[operator]\nlisten = localhost:80\n", settings.ReasonType),
		Entry("a lease shorter than three heartbeats", "[timing]\nheartbeat = 1s\nlease_ttl = 2s\n", settings.ReasonInconsistent),
		Entry("a drain limit that exceeds the shutdown limit", "[timing]\ndrain_limit = 2m\n", settings.ReasonInconsistent),
		Entry("a line that is not a key", "nonsense\n", settings.ReasonSyntax),
	)

	It("parses lists, booleans and ratios", func() {
		table := settings.Table{Keys: []settings.Key{
			{Section: "s", Name: "list", Kind: settings.KindList},
			{Section: "s", Name: "on", Kind: settings.KindBool, Default: "false"},
			{Section: "s", Name: "ratio", Kind: settings.KindRatio, Default: "0.5"},
			{Section: "s", Name: "number", Kind: settings.KindNumber, Default: "590.0", Max: 1000},
			{Section: "s", Name: "text", Kind: settings.KindString},
		}}
		v, err := settings.Load(writeSettings("[s]\nlist = a, b\non = true\n"), table)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.List("s", "list")).To(Equal([]string{"a", "b"}))
		Expect(v.Bool("s", "on")).To(BeTrue())
		Expect(v.Ratio("s", "ratio")).To(Equal(0.5))
		Expect(v.Number("s", "number")).To(Equal(590.0))
		_, err = settings.Load(writeSettings("[s]\non = yes\nratio = 1.5\n"), table)
		Expect(err).To(MatchError(And(ContainSubstring("wrong_type"), ContainSubstring("out_of_range"))))
	})

	// Guards against a misspelt value that leaves overload control in another state than intended.
	It("accepts only on, off and auto for a node's overload_control", func() {
		load := func(value string) (settings.NodeSettings, error) {
			return settings.LoadNode(writeSettings("[process]\nnode = n-1\nzone = a\n[callers]\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n" + value +
				"[peer]\nlisten = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n"))
		}
		for text, want := range map[string]string{"": "auto", "overload_control = on\n": "on", "overload_control = off\n": "off", "overload_control = auto\n": "auto"} {
			s, err := load(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.OverloadControl).To(Equal(want))
		}
		for _, value := range []string{"true", "On", "", "of"} {
			_, err := load("overload_control = " + value + "\n")
			var faults *settings.FaultsError
			Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
			Expect(faults.Faults).To(HaveExactElements(And(HaveField("Reason", settings.ReasonRange), HaveField("Line", 7))))
		}
		var b strings.Builder
		Expect(settings.NodeTable().Reference(&b)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("; Type: choice, range: on, off, auto.\n;overload_control = auto"))
	})

	It("prints a reference with every key and its default", func() {
		var b strings.Builder
		Expect(settings.ControlTable().Reference(&b)).To(Succeed())
		for _, k := range settings.ControlTable().Keys {
			Expect(b.String()).To(ContainSubstring(k.Name + " ="))
		}
		Expect(b.String()).To(ContainSubstring(";lease_ttl = 3s"))
		Expect(b.String()).NotTo(ContainSubstring("queue_per_service"))
	})

	It("reports a file that is missing or exceeds the size limit", func() {
		for _, path := range []string{"/nonexistent/control.ini", "/dev/zero"} {
			_, err := settings.LoadControl(path)
			Expect(err).To(MatchError(ContainSubstring("unreadable_file")))
		}
	})
})
