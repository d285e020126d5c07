package arrival

import (
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// logHolders logs who holds the slots of a target that is offered more than it provides.
func (i *Ingress) logHolders(gate *target.Gate) {
	holders, due := gate.DueHolders()
	if !due {
		return
	}
	i.options.Events.Add(eventlog.Room{
		Service: gate.Service, Instance: gate.Instance, Slots: holders.Load.Slots, Running: holders.Load.Running, Waiting: holders.Load.Waiting, Offered: holders.Load.Offered,
		Routes: roomHolders(holders.Routes), Tenants: roomHolders(holders.Tenants),
	}, eventlog.State)
}

func roomHolders(holders []slots.Holder) []eventlog.RoomHolder {
	var listed []eventlog.RoomHolder
	for _, h := range holders {
		listed = append(listed, eventlog.RoomHolder{Name: h.Name, Running: h.Running, Waiting: h.Waiting, Rest: h.Rest})
	}
	return listed
}
