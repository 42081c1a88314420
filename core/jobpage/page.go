package jobpage

import "tarragonwalk/core/work"

// maxBytes bounds the size of the texts in one page, unless a single text exceeds it.
const maxBytes = 900 << 10

// Page holds consecutive results of a job.
type Page struct {
	// Total is the number of items of the job.
	Total   int
	Results []work.Result
	// Next is the position after the last result.
	Next int
}

// Cut returns the page of listed results from a position on. It has at least one result if there is one.
func Cut(total int, listed []work.Result, after int) Page {
	p := Page{
		Total: total,
		Next:  after,
	}
	size := 0
	for _, r := range listed[min(after, len(listed)):] {
		size += len(r.Text)
		if size > maxBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, r)
	}
	p.Next += len(p.Results)

	return p
}
