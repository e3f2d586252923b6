package fleet_test

import (
	"bytes"
	"errors"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/measure/fleet"
)

// outFile names the environment variable with the path of a file to write the figures to. If
// it is set, the full sizes are measured.
const outFile = "FLEET_MEASURES"

type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("disk full") }

var _ = Describe("Measuring the fleet", func() {
	It("prints every section", func() {
		var page bytes.Buffer
		if os.Getenv(outFile) != "" {
			Expect(fleet.Run(&page)).To(Succeed())
		} else {
			Expect(fleet.RunSizes(&page, []int{50, 100, 200})).To(Succeed())
		}
		for _, section := range []string{
			"## Buffer cost", "## Moves", "## Roll-out time", "## WaveParallel", "## Urgent work", "## Cost of a planning round",
		} {
			Expect(page.String()).To(ContainSubstring(section))
		}
		if name := os.Getenv(outFile); name != "" {
			Expect(os.WriteFile(name, page.Bytes(), 0o644)).To(Succeed())
		}
	})

	It("returns a ReportError when the figures can't be written", func() {
		var failed *fleet.ReportError
		Expect(errors.As(fleet.RunSizes(fullDisk{}, []int{50, 60, 70}), &failed)).To(BeTrue())
	})
})
