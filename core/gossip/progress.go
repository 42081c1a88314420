package gossip

// AddProgress adds the progress of each route to a sum by route.
func AddProgress(sum, progress map[string]BatchProgress) {
	for route, p := range progress {
		s := sum[route]
		sum[route] = BatchProgress{
			Remaining: s.Remaining + p.Remaining,
			Queued:    s.Queued + p.Queued,
			Events:    s.Events + p.Events,
		}
	}
}

// SubtractProgress returns the progress of each route without a part of it. What would be negative, since the two are not of the same
// moment, is 0.
func SubtractProgress(progress, part map[string]BatchProgress) map[string]BatchProgress {
	rest := make(map[string]BatchProgress, len(progress))
	for route, p := range progress {
		q := part[route]
		rest[route] = BatchProgress{
			Remaining: max(0, p.Remaining-q.Remaining),
			Queued:    max(0, p.Queued-q.Queued),
			Events:    max(0, p.Events-q.Events),
		}
	}

	return rest
}
