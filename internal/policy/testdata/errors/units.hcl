clock = "+2"
defaults {
  status = 404
  wait   = 5
  safe   = 0
}
fleet {
  requests {
    rate = "100"
    most = 7
  }
  open {
    rate  = 5
    burst = 5
  }
  book "*" {
    share    = 30
    priority = "high"
    requests {
      rate  = -1
      slots = 5
      wait  = "2 s"
      at {
        from = "25:00"
        to   = "26:00"
      }
    }
    key {
      rate  = 1
      slots = 0.5
    }
  }
}
