package job

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

func line(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[]}}`, id, model)
}

// Guards against accepting an input with malformed items, duplicate custom_ids or several models, or one above the limits.
func TestSplitRefuses(t *testing.T) {
	cases := []struct {
		name, input, where string
		code               fault.Code
	}{
		{name: "empty", input: "", where: "", code: fault.CodeInvalid},
		{name: "duplicate", input: line("a", "m") + "\n" + line("a", "m"), where: "line 2", code: fault.CodeInvalid},
		{name: "model", input: line("a", "m") + "\n" + line("b", "n"), where: "line 2", code: fault.CodeInvalid},
		{name: "method", input: strings.Replace(line("a", "m"), "POST", "GET", 1), where: "line 1", code: fault.CodeInvalid},
		{name: "url", input: strings.Replace(line("a", "m"), "chat", "cat", 1), where: "line 1", code: fault.CodeInvalid},
		{name: "blank", input: line("a", "m") + "\n\n" + line("b", "m"), where: "line 2", code: fault.CodeInvalid},
		{name: "not json", input: "{", where: "line 1", code: fault.CodeInvalid},
		{name: "long line", input: line(strings.Repeat("a", 100), strings.Repeat("m", 200)), where: "line 1", code: fault.CodeTooLarge},
		{name: "too many", input: strings.Join([]string{line("a", "m"), line("b", "m"), line("c", "m"), line("d", "m")}, "\n"), where: "line 4", code: fault.CodeTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Splitter{ChunkItems: 2, ChunkBytes: 1000, MaxItems: 3, LineBytes: 250}
			_, err := s.Split(strings.NewReader(c.input), func(int, []byte) error { return nil })
			is.Equal(fault.CodeOf(err), c.code)
			is.True(strings.Contains(err.Error(), c.where))
		})
	}
}

// Guards against lost or reordered lines and chunks above their limits on any input.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(line("a", "m")+"\n"+line("b", "m")+"\r\n"+line("c", "m")), 2, 300)
	f.Add([]byte("{\n\n"), 1, 1)
	f.Fuzz(func(t *testing.T, input []byte, items, size int) {
		s := Splitter{ChunkItems: max(1, items), ChunkBytes: max(1, size), MaxItems: 100, LineBytes: 1000}
		var all []byte
		file, err := s.Split(bytes.NewReader(input), func(n int, data []byte) error {
			parsed, err := Items(data)
			if err != nil || len(parsed) == 0 || len(parsed) > s.ChunkItems || (len(data) > s.ChunkBytes && len(parsed) > 1) {
				t.Fatalf("chunk %d: %v, %d items, %d bytes", n, err, len(parsed), len(data))
			}
			all = append(all, data...)

			return nil
		})
		if err != nil {
			return
		}
		parsed, err := Items(all)
		if err != nil || len(parsed) != file.Items || len(all) != file.Bytes {
			t.Fatalf("%v: %d items of %d, %d bytes of %d", err, len(parsed), file.Items, len(all), file.Bytes)
		}
	})
}
