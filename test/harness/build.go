package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// binaries holds where the processes under test were built, once per test run.
var binaries struct {
	once sync.Once
	dir  string
	err  error
	out  []byte
}

// binary returns the path of a built command. RemoveBinaries deletes it.
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

// RemoveBinaries deletes what was built. A suite calls it in AfterSuite.
func RemoveBinaries() {
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
}
