package picture

import "strconv"

// maxTicks bounds the labels on the time axis after the one at 0.
const maxTicks = 10

// tick is one label on the time axis: milliseconds after the first event.
type tick struct {
	X     int
	Label string
}

// ticks divides the time axis into intervals of 1, 2 or 5 times a power of ten ms.
func ticks(lengthMs int64) []tick {
	step := stepFor(lengthMs)
	var list []tick
	for at := int64(0); at <= lengthMs; at += step {
		list = append(list, tick{X: xAt(at, lengthMs), Label: strconv.FormatInt(at, 10)})
	}
	return list
}

func stepFor(lengthMs int64) int64 {
	for power := int64(1); ; power *= 10 {
		for _, factor := range []int64{1, 2, 5} {
			if lengthMs/(factor*power) <= maxTicks {
				return factor * power
			}
		}
	}
}
