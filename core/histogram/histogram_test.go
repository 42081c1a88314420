package histogram

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a duration beyond the range that is not counted, and against a metric that is not valid JSON.
func TestHistogram(t *testing.T) {
	is := is.New(t)
	h := New("TestHistogram")
	for n := range 100 {
		h.Record(time.Duration(n) * time.Millisecond)
	}
	h.Record(time.Hour)
	values := map[string]int64{}
	is.NoErr(json.Unmarshal([]byte(h.String()), &values))
	is.Equal(values["Count"], int64(101))
	is.Equal(values["P50"], int64(50))
	is.True(values["Max"] >= maxMillis)
}
