console.log("0 models");
