package jobrun

// HasRoom reports whether this instance holds a job already, or whether the items of the jobs that it holds and those of a further one, of
// a size in bytes, take no more than a limit. Jobs that are taken over from other instances are not limited, since nobody else may run them.
func (r *Runner) HasRoom(id string, size, limit int) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.jobs[id] != nil || r.unresolved[id] != nil {
		return true
	}
	used := 0
	for _, jobs := range []map[string]*job{r.jobs, r.unresolved} {
		for _, j := range jobs {
			for _, it := range j.items {
				used += len(it.Body)
			}
		}
	}

	return used == 0 || used+size <= limit
}
