package operator

import (
	"fmt"
	"text/tabwriter"

	"github.com/landingmast/landingmast/internal/logquery"
)

// printRoom prints who held the slots of services, and the number of log lines read and skipped.
func (c *cli) printRoom(rooms []logquery.ServiceRoom, read, skipped int) error {
	return c.print(rooms, func(table *tabwriter.Writer) {
		writeRow(table, "SERVICE", "HELD BY", "RUNNING", "WAITING", "DEMAND", "OFFERED", "SLOTS", "TARGETS", "AGE")
		for _, room := range rooms {
			demand := float64(room.Running+room.Waiting) / float64(max(room.Slots, 1))
			writeRow(table, room.Service, "all", room.Running, room.Waiting, twoDigits(demand), twoDigits(room.Offered), room.Slots, room.Targets, fmt.Sprintf("%.1fs", room.Age))
			for _, route := range room.Routes {
				writeHolder(table, room.Service, "route", route)
			}
			for _, tenant := range room.Tenants {
				writeHolder(table, room.Service, "tenant", tenant)
			}
		}
		_, _ = fmt.Fprintf(table, "%d lines read, %d skipped\n", read, skipped)
	})
}

func writeHolder(table *tabwriter.Writer, service, kind string, holder logquery.RoomHolder) {
	name := holder.Name
	switch {
	case holder.Rest:
		name = "(others)"
	case name == "":
		name = "(none)"
	}
	writeRow(table, service, kind+" "+name, holder.Running, holder.Waiting, twoDigits(holder.Demand))
}

func twoDigits(value float64) string { return fmt.Sprintf("%.2f", value) }
