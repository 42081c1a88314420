package burn

import "time"

// level is a ring of buckets of one width.
type level struct {
	width time.Duration
	// firstCell is the ring's place in the cells of a series.
	firstCell int
	count     int
}

const (
	fineBuckets   = 120
	middleBuckets = 36
	coarseBuckets = 72
	cells         = fineBuckets + middleBuckets + coarseBuckets
)

// levels cover 1 h, 6 h and 3 d. A window ends inside the current bucket, so its length varies by one width: at most a
// tenth of 5 m, and less than that of each longer window.
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

// buckets is the number of buckets, the current one included.
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
