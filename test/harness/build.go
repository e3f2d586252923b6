package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// binaries holds the directory of the commands under test, which are built
// once per test run.
var binaries struct {
	once sync.Once
	dir  string
	err  error
	out  []byte
}

// binary returns the path of a built command and builds all commands on first
// use. RemoveBinaries deletes them.
func binary(name string) string {
	ginkgo.GinkgoHelper()
	binaries.once.Do(func() {
		if binaries.dir, binaries.err = os.MkdirTemp("", "cyclamen-proof-"); binaries.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", binaries.dir+string(filepath.Separator),
			"cyclamenwheel/cmd/cyclamen-entry", "cyclamenwheel/cmd/cyclamen-control", "cyclamenwheel/cmd/cyclamenctl")
		binaries.out, binaries.err = cmd.CombinedOutput()
	})
	gomega.Expect(binaries.err).NotTo(gomega.HaveOccurred(), string(binaries.out))
	return filepath.Join(binaries.dir, name)
}

// RemoveBinaries deletes the built commands. Suites call it in AfterSuite.
func RemoveBinaries() {
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
}
