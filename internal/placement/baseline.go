package placement

// FirstFit is the baseline that Estimating is compared with. It uses declared
// sizes, takes jobs in the order of the manifest and puts each task on the
// first worker with enough free capacity. It neither prefers urgent tasks nor
// quarantines workers.
type FirstFit struct{}

// Decide implements Placer.
func (FirstFit) Decide(in Input) Output {
	in.Sizer = Declared{}
	in.Limits.UrgentReserve = -1
	r := newRound(in)
	r.bookTasks()
	for _, j := range r.jobs {
		r.placeFirstFit(j)
	}
	return r.output()
}

func (r *round) placeFirstFit(j *jobState) {
	done := r.in.History.jobHistory(*j.spec).Done
	for index := range j.spec.Tasks {
		if j.occupied[index] || done[index] {
			continue
		}
		i := j.pool.normalFree.find(j.size, 0, nil)
		if i < 0 {
			r.addWaiting(j, 1, ReasonNoRoom)
			continue
		}
		r.startTask(j, index, i, ReasonWanted)
	}
}
