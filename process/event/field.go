package event

import "strings"

// units maps each field name to its unit, which is the same in all events.
var units = map[string]string{
	"address":          "ip:port",
	"age_ms":           "ms",
	"agent":            "id",
	"agents":           "count",
	"refused":          "count",
	"excluded":         "count",
	"failures":         "count",
	"known":            "count",
	"lines":            "count",
	"attempt":          "count",
	"based_on_version": "version",
	"behind_ms":        "ms",
	"bytes":            "bytes",
	"cause":            "text",
	"component":        "text",
	"direction":        "in, out",
	"elapsed_ms":       "ms",
	"entry":            "id",
	"error":            "text",
	"file":             "path",
	"frames_address":   "ip:port",
	"franchisee":       "id",
	"grace_ms":         "ms",
	"http_address":     "ip:port",
	"incarnation":      "count",
	"image":            "id",
	"job":              "id",
	"jobs":             "count",
	"kind":             "text",
	"lapsed":           "count",
	"lease_ms":         "ms",
	"milli_cpu":        "milli-processors",
	"operation":        "text",
	"operator":         "id",
	"expected_wait_ms": "ms",
	"finishing":        "count",
	"gain_ms":          "ms",
	"kinds":            "count",
	"left":             "count",
	"moved":            "count",
	"pairings":         "count",
	"rack":             "id",
	"other_agent":      "id",
	"other_run":        "count",
	"outage_ms":        "ms",
	"peer":             "id",
	"pending_calls":    "count",
	"previous_version": "version",
	"percent":          "%",
	"harm_percent":     "%",
	"profile":          "id",
	"ran":              "no, maybe, yes",
	"reachable":        "true, false",
	"reason":           "text",
	"received_bytes":   "bytes",
	"revision":         "count",
	"transfer_ms":      "ms",
	"decode_ms":        "ms",
	"remaining_ms":     "ms",
	"request":          "id",
	"run":              "count",
	"scope":            "text",
	"service":          "id",
	"session":          "count",
	"silent_ms":        "ms",
	"source":           "text",
	"state":            "text",
	"stop":             "id",
	"subject":          "id",
	"surface":          "frames, http",
	"tail_ms":          "ms",
	"target":           "ip:port",
	"target_ms":        "ms",
	"task":             "id",
	"tasks":            "count",
	"term":             "count",
	"tickets":          "count",
	"unanswered":       "true, false",
	"unconfirmed":      "count",
	"unfinished":       "count",
	"unproven":         "count",
	"version":          "version",
	"void":             "true, false",
	"wait_ms":          "ms",
	"worker":           "id",
	"workers":          "count",
	"worker_age_ms":    "ms",
}

func isFieldName(name string) bool {
	_, ok := units[name]
	return ok
}

// withUnits returns the fields of a space-separated list of names, with their units.
func withUnits(names string) []Field {
	var list []Field
	for _, name := range strings.Fields(names) {
		list = append(list, Field{name, units[name]})
	}
	return list
}
