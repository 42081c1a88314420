package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps each dotted key to the line where it is set.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	table := []string{}
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		path, line := expressionKey(&p, text, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
			lines[joinPath(table)] = line
		case unstable.KeyValue:
			lines[joinPath(append(append([]string{}, table...), path...))] = line
		default:
		}
	}

	return lines
}

func expressionKey(p *unstable.Parser, text []byte, e *unstable.Node) ([]string, int) {
	path := []string{}
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		path = append(path, string(n.Data))
		if line == 0 {
			line = 1 + bytes.Count(text[:p.Range(n.Data).Offset], []byte("\n"))
		}
	}

	return path, line
}

// nearestLine returns the line of the key or of its closest enclosing table, or 0.
func nearestLine(path []string, lines map[string]int) int {
	for n := len(path); n > 0; n-- {
		if line, ok := lines[joinPath(path[:n])]; ok {
			return line
		}
	}

	return 0
}

func joinPath(path []string) string {
	return strings.Join(path, ".")
}
