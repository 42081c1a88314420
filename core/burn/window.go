package burn

import "time"

// level describes a ring buffer of buckets of one width.
type level struct {
	width time.Duration
	// firstCell is the index of the ring buffer's first cell in a series.
	firstCell int
	count     int
}

const (
	fineBuckets   = 120
	middleBuckets = 36
	coarseBuckets = 72
	cells         = fineBuckets + middleBuckets + coarseBuckets
)

// levels cover 1 h, 6 h and 3 d. A window ends inside the current bucket, so its length varies by one bucket width: a
// tenth of the 5 m window, and less than a tenth of each longer one.
var levels = [...]level{
	{
		width:     30 * time.Second,
		firstCell: 0,
		count:     fineBuckets,
	},
	{
		width:     10 * time.Minute,
		firstCell: fineBuckets,
		count:     middleBuckets,
	},
	{
		width:     time.Hour,
		firstCell: fineBuckets + middleBuckets,
		count:     coarseBuckets,
	},
}

const (
	fine   = 0
	middle = 1
	coarse = 2
)

type window struct {
	name   string
	length time.Duration
	level  int
}

// buckets returns the number of buckets in the window, including the current one.
func (w window) buckets() int {
	return int(w.length / levels[w.level].width)
}

var windows = [...]window{
	{
		name:   "5m",
		length: 5 * time.Minute,
		level:  fine,
	},
	{
		name:   "30m",
		length: 30 * time.Minute,
		level:  fine,
	},
	{
		name:   "1h",
		length: time.Hour,
		level:  fine,
	},
	{
		name:   "6h",
		length: 6 * time.Hour,
		level:  middle,
	},
	{
		name:   "3d",
		length: 72 * time.Hour,
		level:  coarse,
	},
}

const (
	fiveMinutes = iota
	halfHour
	oneHour
	sixHours
	threeDays
)
