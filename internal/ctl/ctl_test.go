package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/platform"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

const examples = "../../examples"

// run runs the tool and returns the exit code, standard output and standard
// error.
func run(stdin string, args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := ctl.Main(context.Background(), args, ctl.Streams{In: strings.NewReader(stdin), Out: &out, Err: &err})
	return code, out.String(), err.String()
}

var _ = Describe("validate", func() {
	It("accepts the examples", func() {
		files, err := filepath.Glob(examples + "/*/manifest*.json")
		Expect(err).NotTo(HaveOccurred())
		code, out, _ := run("", append([]string{"validate"}, files...)...)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(strings.Count(out, ": valid\n")).To(Equal(len(files)))
	})

	It("reports file, position, field and reason for each of several files", func() {
		bad := filepath.Join(GinkgoT().TempDir(), "bad.json")
		Expect(os.WriteFile(bad, []byte("{\n\"pool\": []}"), 0o600)).To(Succeed())
		code, out, errs := run("{}", "validate", bad, "-", examples+"/portlouis/manifest.json")
		Expect(code).To(Equal(ctl.ExitInvalidInput))
		Expect(out).To(ContainSubstring(bad + ": 2:1: pool: unknown_field: "))
		Expect(out).To(ContainSubstring("/dev/stdin: pools: no_pools: "))
		Expect(out).To(ContainSubstring("manifest.json: valid"))
		Expect(errs).To(ContainSubstring("5 faults in 2 files"))
	})

	It("prints JSON with the flag before or after the files", func() {
		for _, args := range [][]string{{"validate", "--json", "-"}, {"validate", "-", "--json"}} {
			code, out, _ := run("{} {}", args...)
			Expect(code).To(Equal(ctl.ExitInvalidInput))
			var reports []ctl.FileReport
			Expect(json.Unmarshal([]byte(out), &reports)).To(Succeed())
			Expect(reports).To(HaveLen(1))
			Expect(reports[0].Faults[0].Reason).To(Equal("trailing_data"))
		}
	})

	It("rejects an endless file and an unreadable one", func() {
		code, out, _ := run("", "validate", "/dev/zero", "/nonexistent")
		Expect(code).To(Equal(ctl.ExitInvalidInput))
		Expect(out).To(And(ContainSubstring("too_large"), ContainSubstring("unreadable_file")))
	})
})

var _ = Describe("settings", func() {
	It("prints a reference and accepts the examples", func() {
		code, out, _ := run("", "settings", "entry")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("queue_per_service"))
		for _, daemon := range []string{"entry", "control"} {
			files, err := filepath.Glob(examples + "/*/" + daemon + ".ini")
			Expect(err).NotTo(HaveOccurred())
			Expect(files).To(HaveLen(2))
			code, out, _ = run("", append([]string{"check-settings", daemon}, files...)...)
			Expect(code).To(Equal(ctl.ExitOK), out)
		}
	})

	It("prints the reference of node settings and reports faults in a node's file", func() {
		code, out, _ := run("", "settings", "node")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("keep_ended"))
		bad := filepath.Join(GinkgoT().TempDir(), "node.ini")
		Expect(os.WriteFile(bad, []byte("[process]\nnode = n-1\n[bounds]\ngrace = soon\n"), 0o600)).To(Succeed())
		code, out, _ = run("", "check-settings", "node", bad)
		Expect(code).To(Equal(ctl.ExitInvalidInput))
		Expect(out).To(And(ContainSubstring("grace"), ContainSubstring("zone")))
	})

	It("reports faults in a settings file of another daemon", func() {
		code, out, _ := run("", "check-settings", "control", examples+"/portlouis/entry.ini")
		Expect(code).To(Equal(ctl.ExitInvalidInput))
		Expect(out).To(ContainSubstring("[callers]: unknown_section"))
	})
})

var _ = Describe("certs", func() {
	It("writes the key file of an operator", func() {
		dir := GinkgoT().TempDir()
		code, _, errs := run("", "certs", "--dir", dir, "--deployment=portlouis", "entry/e-1", "operator/ops")
		Expect(code).To(Equal(ctl.ExitOK), errs)
		Expect(filepath.Join(dir, "operator-ops-key.pem")).To(BeAnExistingFile())
	})
})

var _ = Describe("command line", func() {
	DescribeTable("is rejected as a usage error", func(args ...string) {
		code, _, errs := run("", args...)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errs).NotTo(BeEmpty())
	},
		Entry("without a command"),
		Entry("with an unknown command", "publsh"),
		Entry("with an unknown command before a known one", "publsh", "version"),
		Entry("with an unknown flag", "validate", "--jsn", "-"),
		Entry("with a flag of another command", "validate", "--dir", "x", "-"),
		Entry("with a flag that is no boolean", "validate", "--json=perhaps", "-"),
		Entry("without files", "validate"),
		Entry("with an empty argument", "validate", ""),
		Entry("with a flag without name", "validate", "--=x"),
		Entry("with an unknown daemon", "settings", "endpoint"),
		Entry("with a malformed id", "certs", "--dir", os.TempDir(), "--deployment", "d", "boss/x"),
	)

	It("prints help and version", func() {
		code, out, _ := run("", "help")
		Expect(code).To(Equal(ctl.ExitOK))
		for _, c := range ctl.Commands() {
			Expect(out).To(ContainSubstring(c.Name))
		}
		for _, args := range []string{"version", "--version"} {
			code, out, _ = run("", args)
			Expect(code).To(Equal(ctl.ExitOK))
			Expect(out).To(HavePrefix("cyclamenctl "))
		}
	})

	DescribeTable("exit code of a wrapped error depends on its type", func(err error, want int) {
		Expect(ctl.ExitCode(errors.Wrap(err, "publish"))).To(Equal(want))
	},
		Entry(nil, &ctl.ConflictError{}, ctl.ExitConflict),
		Entry(nil, &platform.UnavailableError{Cause: context.DeadlineExceeded}, ctl.ExitPlatformUnavailable),
		Entry(nil, &platform.OutcomeUnknownError{}, ctl.ExitTimeout),
		Entry(nil, context.DeadlineExceeded, ctl.ExitTimeout),
		Entry(nil, &ctl.OutputError{}, ctl.ExitFailure),
	)
})
