package profilefile

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// Locate returns the position of a top-level key or table in data, which must be valid
// TOML; if there is none, the start of the file.
func Locate(data []byte, key string) (line, column int) {
	var parser unstable.Parser
	parser.Reset(data)
	inTable := false
	for parser.NextExpression() {
		e := parser.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
			continue
		}
		inTable = inTable || e.Kind == unstable.Table
		if inTable && e.Kind == unstable.KeyValue {
			continue
		}
		it := e.Key()
		if it.Next() && string(it.Node().Data) == key {
			start := parser.Shape(it.Node().Raw).Start
			return start.Line, start.Column
		}
	}
	return 1, 1
}
