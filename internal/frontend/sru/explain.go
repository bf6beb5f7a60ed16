package sru

import (
	"fmt"
	"strings"

	"rooktrestle/internal/config"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// explain returns the ZeeRex description of a database.
func (s *Server) explain(database *config.Database) []byte {
	host, port, _ := strings.Cut(s.Service.Config.Listen.SRU, ":")
	title := database.Title
	if title == "" {
		title = database.Name
	}
	return fmt.Appendf(nil, sru.XMLHeader+`<explainResponse xmlns="%s"><version>1.2</version><record>`+
		`<recordSchema>http://explain.z3950.org/dtd/2.0/</recordSchema><recordPacking>xml</recordPacking><recordData>`+
		`<explain xmlns="http://explain.z3950.org/dtd/2.0/"><serverInfo protocol="SRU" version="1.2" transport="http" method="GET POST">`+
		`<host>%s</host><port>%s</port><database>%s</database></serverInfo><databaseInfo><title>%s</title></databaseInfo>`+
		`<indexInfo>%s</indexInfo><schemaInfo><schema identifier="%s" name="dc"><title>Dublin Core</title></schema></schemaInfo>`+
		`<configInfo><default type="numberOfRecords">%d</default><setting type="maximumRecords">%d</setting></configInfo>`+
		`</explain></recordData></record></explainResponse>`+"\n",
		sru.NamespaceSRW, sru.EscapeText(host), sru.EscapeText(port), sru.EscapeText(database.Name), sru.EscapeText(title),
		indexElements(), sru.DefaultSchema, defaultMaxRecords, s.Service.Config.Limits.MaxRecords)
}

// indexElements returns the index elements of the indexes that queries may use.
func indexElements() string {
	var elements strings.Builder
	for _, name := range query.IndexNames() {
		set, index, _ := strings.Cut(name, ".")
		fmt.Fprintf(&elements,
			`<index search="true" scan="false" sort="false"><title>%s</title><map><name set="%s">%s</name></map></index>`,
			sru.EscapeText(name), sru.EscapeText(set), sru.EscapeText(index))
	}
	return elements.String()
}
