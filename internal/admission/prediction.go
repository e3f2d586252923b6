package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of Predictions.
const (
	// maxPredictionClasses bounds the classes that are tracked. The others share otherClass.
	maxPredictionClasses = 64
	otherClass           = "other"
	// minFactor and maxFactor bound the learned factors.
	minFactor = 0.5
	maxFactor = 4
	// factorQuantile is the quantile of actual over predicted times that a factor follows: four of
	// five jobs end by their corrected prediction.
	factorQuantile = 0.8
	// factorStep is the step of a factor's logarithm for each sample. In steady state the factor then
	// varies by some 7% for ratios that vary by 30%, and 17 samples in a row that are late double it.
	factorStep = 0.05
	// predictionWeight is the weight of a new sample in the moving averages: about the last hundred
	// samples count.
	predictionWeight = 0.01
)

// Predictions compares predicted with actual times from acceptance to end, by class of jobs, and
// learns by which factor predictions have to be corrected. No samples are kept. It is not safe for
// concurrent use.
//
// Load: tasks take longer than their mean, starts are answered late, and capacity is lost after a
// prediction was made. Failure prevented: under steady overload, each accepted job ends late by as
// much as the prediction is wrong.
type Predictions struct {
	classes map[string]*predictionClass
}

// predictionClass holds what is known of one class. The means and the share of late jobs are moving
// averages.
type predictionClass struct {
	samples                    int
	predictedMs, actualMs      float64
	lateShare, factorLogarithm float64
}

// PredictionDump is the state of one class for operators. The means and the share of jobs that ended
// after their corrected prediction count about the last hundred jobs.
type PredictionDump struct {
	Class       string  `json:"class"`
	Samples     int     `json:"samples"`
	PredictedMs float64 `json:"predicted_ms"`
	ActualMs    float64 `json:"actual_ms"`
	Factor      float64 `json:"factor"`
	LateShare   float64 `json:"late_share"`
}

// NewPredictions returns Predictions with the factor 1 for each class.
func NewPredictions() *Predictions {
	return &Predictions{classes: map[string]*predictionClass{}}
}

// Observe records the predicted and the actual time from acceptance to end of a job. predicted is the
// prediction before Correct: a corrected one would have its correction learned again.
func (p *Predictions) Observe(class string, predicted, actual time.Duration) {
	p.track(class).observe(predicted, actual)
}

// Correct returns the predicted time multiplied by the learned factor of the class, which is between
// 0.5 and 4, and 1 for a class without samples.
func (p *Predictions) Correct(class string, predicted time.Duration) time.Duration {
	c := p.classes[class]
	if c == nil && len(p.classes) >= maxPredictionClasses {
		c = p.classes[otherClass]
	}
	if c == nil {
		return predicted
	}
	return time.Duration(c.factor() * float64(predicted))
}

// Dump returns the state of all classes, ordered by name.
func (p *Predictions) Dump() []PredictionDump {
	out := make([]PredictionDump, 0, len(p.classes))
	for _, name := range slices.Sorted(maps.Keys(p.classes)) {
		c := p.classes[name]
		out = append(out, PredictionDump{
			Class: name, Samples: c.samples, PredictedMs: c.predictedMs, ActualMs: c.actualMs,
			Factor: c.factor(), LateShare: c.lateShare,
		})
	}
	return out
}

// track returns the state of a class, or the shared one if maxPredictionClasses others are tracked.
func (p *Predictions) track(class string) *predictionClass {
	c := p.classes[class]
	if c == nil && len(p.classes) >= maxPredictionClasses {
		class = otherClass
		c = p.classes[class]
	}
	if c == nil {
		c = &predictionClass{}
		p.classes[class] = c
	}
	return c
}

func (c *predictionClass) factor() float64 { return math.Exp(c.factorLogarithm) }

func (c *predictionClass) observe(predicted, actual time.Duration) {
	c.samples++
	// Use a plain mean at first: otherwise a single sample would dominate for long.
	weight := max(1/float64(c.samples), predictionWeight)
	c.predictedMs += weight * (milliseconds(predicted) - c.predictedMs)
	c.actualMs += weight * (milliseconds(actual) - c.actualMs)
	late := 0.0
	step := -factorStep * (1 - factorQuantile)
	if float64(actual) > c.factor()*float64(predicted) {
		late, step = 1, factorStep*factorQuantile
	}
	c.lateShare += weight * (late - c.lateShare)
	c.factorLogarithm = min(max(c.factorLogarithm+step, math.Log(minFactor)), math.Log(maxFactor))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
