-- Prefers backends in the daemon's own zone: cross-zone traffic costs money and adds latency. Other
-- zones keep a small share, so that a zone with many clients and few backends spills over.
function place(flow_class, backend)
  if backend.same_zone then
    return 800
  end
  return 100
end
