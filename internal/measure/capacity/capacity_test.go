package capacity

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestFitFindsTheSlope(t *testing.T) {
	g := NewWithT(t)
	var points []point
	for _, x := range []float64{50, 500, 5000} {
		points = append(points, point{x, 3 + 2*x})
	}
	a, b := fit(points)
	g.Expect(a).To(BeNumerically("~", 3, 1e-6))
	g.Expect(b).To(BeNumerically("~", 2, 1e-9))
}
