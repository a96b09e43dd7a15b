package routers

// Result is what a play measured. It is stored as JSON: the tags stay.
type Result struct {
	Routers       int          `json:"Routers"`
	Endpoints     int          `json:"Endpoints"`
	StartMs       int64        `json:"StartMs"`       // until the first configuration was in force at all routers
	RestCPU       float64      `json:"RestCPU"`       // ms a second a router, the endpoints' heartbeats included
	RestBytes     float64      `json:"RestBytes"`     // sent a second a router
	RestDatagrams float64      `json:"RestDatagrams"` // sent a second a router
	MemoryMB      float64      `json:"MemoryMB"`      // resident, a router
	ChangeP50Ms   int64        `json:"ChangeP50Ms"`   // of all routers and changes, from the acknowledgement
	ChangeP99Ms   int64        `json:"ChangeP99Ms"`
	ChangeLastMs  int64        `json:"ChangeLastMs"`
	ChangeKB      float64      `json:"ChangeKB"`      // sent a change a router, in messages and in replies to fetches, what goes on at rest included
	AcknowledgeMs int64        `json:"AcknowledgeMs"` // the median, of the operator's calls
	Failed        int          `json:"Failed"`        // changes that were not in force at all in time
	Losses        []LossResult `json:"Losses"`
}
