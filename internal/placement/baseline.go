package placement

// FirstFit is the baseline that Estimating is measured beside: declared sizes,
// jobs in the order in which the manifest has them, each task on the first
// worker with room, and neither urgent lane nor quarantine.
type FirstFit struct{}

// Decide implements Placer.
func (FirstFit) Decide(in Input) Output {
	in.Sizer = Declared{}
	in.Limits.UrgentReserve = -1
	r := newRound(in)
	r.takeStock()
	for _, j := range r.jobs {
		r.placeFirstFit(j)
	}
	return r.output()
}

func (r *round) placeFirstFit(j *jobWork) {
	done := r.in.History.job(*j.spec).Done
	for index := range j.spec.Tasks {
		if j.taken[index] || done[index] {
			continue
		}
		i := j.pool.forNormal.find(j.size, 0, nil)
		if i < 0 {
			r.wait(j, 1, ReasonNoRoom)
			continue
		}
		r.start(j, index, i, ReasonWanted)
	}
}
