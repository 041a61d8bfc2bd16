package runs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

// Guards against starts that are refused because the input of their job was removed for the number
// of other jobs, of which hundreds pass through a worker within a minute on a large site, and
// against inputs that fill the memory.
func TestUnusedInputsAreBoundedBySize(t *testing.T) {
	r := newRig(t)
	o := &message.Orders{}
	for i := range 400 {
		o.Inputs = append(o.Inputs, message.JobInput{Job: fmt.Sprint("j", i), Input: make([]byte, 4000)})
	}
	r.node.admitOrders(o, time.Time{})
	r.node.pruneInputs()
	key := runKey("j0", 1)
	r.node.admitOrders(&message.Orders{Starts: []message.StartRun{{Key: key, Need: testNeed, Charge: testNeed}}}, time.Time{})
	require.NotNil(t, r.node.findRun(key), "refused for lack of its input")

	for i := range maxInputBytes/(1<<20) + 1 {
		r.node.admitOrders(&message.Orders{Inputs: []message.JobInput{{Job: fmt.Sprint("large", i), Input: make([]byte, 1<<20)}}}, time.Time{})
	}
	r.node.pruneInputs()
	require.Len(t, r.node.inputs, 1, "only the input of the run stays")
	require.Equal(t, 4000, r.node.inputBytes)
}
