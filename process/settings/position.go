package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

type position struct{ line, column int }

// positions maps the full name of each key and table of a file, such as
// "auth.tokens[0].name" or "entries.seeds[1]", to its position.
type positions map[string]position

// locate returns the positions in a document, which must have been decoded without a
// syntax error.
func locate(data []byte) positions {
	l := locator{found: positions{}, tables: map[string]int{}}
	l.parser.Reset(data)
	prefix := ""
	for l.parser.NextExpression() {
		e := l.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = l.key("", e)
		case unstable.ArrayTable:
			name := l.key("", e)
			prefix = fmt.Sprintf("%s[%d]", name, l.tables[name])
			l.tables[name]++
			l.found[prefix] = l.at(firstKey(e))
		case unstable.KeyValue:
			l.keyValue(prefix, e)
		}
	}
	return l.found
}

type locator struct {
	parser unstable.Parser
	found  positions
	tables map[string]int
}

// key records the position of the node's key below prefix and of all tables that it
// implies, and returns the full name of the key.
func (l *locator) key(prefix string, n *unstable.Node) string {
	at := l.at(firstKey(n))
	for it := n.Key(); it.Next(); {
		prefix = join(prefix, string(it.Node().Data))
		if _, ok := l.found[prefix]; !ok {
			l.found[prefix] = at
		}
	}
	return prefix
}

func (l *locator) keyValue(prefix string, n *unstable.Node) {
	name := l.key(prefix, n)
	l.value(name, n.Value())
}

func (l *locator) value(name string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			l.keyValue(name, it.Node())
		}
	case unstable.Array:
		index := 0
		for it := n.Children(); it.Next(); {
			element := fmt.Sprintf("%s[%d]", name, index)
			if it.Node().Raw.Length > 0 {
				l.found[element] = l.at(it.Node())
			}
			l.value(element, it.Node())
			index++
		}
	}
}

func (l *locator) at(n *unstable.Node) position {
	start := l.parser.Shape(n.Raw).Start
	return position{start.Line, start.Column}
}

func firstKey(n *unstable.Node) *unstable.Node {
	it := n.Key()
	it.Next()
	return it.Node()
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// find returns the position of the key, else of its innermost enclosing table, else the
// start of the file.
func (p positions) find(key string) position {
	for key != "" {
		if at, ok := p[key]; ok {
			return at
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return position{1, 1}
}

func (p positions) has(key string) bool {
	_, ok := p[key]
	return ok
}
